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
 * @param timeLeft time until the deadline; a later response is of no use
 * @param lastEventId if a stream is resumed, id of the event after which it continues
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
