package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What an entry adds to a request that it sends to an endpoint.
 *
 * @param endpointId id of the endpoint that is meant; another one at its address must refuse
 * @param organisation name of the caller's organisation
 * @param timeLeft time after which the answer is of no use
 * @param lastEventId event after which a stream goes on
 * @param version version of the weights that must answer, where that matters
 * @param priority rank of the request, 0 first
 */
public record AttemptMetadata(
        String endpointId,
        Optional<String> organisation,
        Duration timeLeft,
        Optional<String> lastEventId,
        OptionalLong version,
        OptionalInt priority) {}
