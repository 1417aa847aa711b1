package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Metadata that an entry adds to a request when it sends it to an endpoint.
 *
 * @param endpointId id of the intended endpoint; another one at its address must refuse
 * @param organisation name of the caller's organisation
 * @param timeLeft time after which a response is of no use
 * @param lastEventId id of the event after which a stream resumes
 * @param version required version of the weights, if any
 * @param priority priority of the request, 0 highest
 */
public record AttemptMetadata(
        String endpointId,
        Optional<String> organisation,
        Duration timeLeft,
        Optional<String> lastEventId,
        OptionalLong version,
        OptionalInt priority) {}
