package org.sequoiahill.daemon.version.fetch;

import java.time.Duration;

/**
 * Limits and delays that a {@link FetchPlanner} applies.
 *
 * @param maxPeerRequests concurrent chunk requests to other agents
 * @param maxDataCentreOriginFetches concurrent chunk fetches from the origin by all agents of a
 *     data centre
 * @param stallTimeout time without progress after which a responding agent is skipped; also the
 *     time for which an agent that was asked without waiting, and did not send the chunk, is not
 *     asked for it again
 * @param hedgeAfter age of an attempt after which a second one is started
 * @param sourceBackoff time for which a failed source is not used again, and for which agents of
 *     other data centres are asked after a lease was refused
 * @param corruptSourceBackoff time for which a source of corrupt bytes is not used again
 * @param retryDelay minimum delay before a chunk is retried after a fetch from the origin failed;
 *     doubles with each further failure, up to five times. All fetches from the origin pause for at
 *     least this delay when the origin throttles and names no delay. A peer that did not send a
 *     chunk in time can be asked for it again after an eighth to a quarter of this delay
 */
public record FetchLimits(
        int maxPeerRequests,
        int maxDataCentreOriginFetches,
        Duration stallTimeout,
        Duration hedgeAfter,
        Duration sourceBackoff,
        Duration corruptSourceBackoff,
        Duration retryDelay) {
    /** Returns the limits that a daemon uses. */
    public static FetchLimits standard() {
        return new FetchLimits(
                32,
                8,
                Duration.ofSeconds(20),
                Duration.ofSeconds(15),
                Duration.ofSeconds(10),
                Duration.ofSeconds(60),
                Duration.ofMillis(200));
    }
}
