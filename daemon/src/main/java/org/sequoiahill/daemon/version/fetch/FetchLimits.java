package org.sequoiahill.daemon.version.fetch;

import java.time.Duration;

/**
 * Limits of a planner.
 *
 * @param maxPeerRequests concurrent chunk requests to other agents
 * @param maxRegionOriginFetches concurrent chunk fetches from the origin by all agents of a region
 * @param stallTimeout time after which a responding owner without progress is skipped
 * @param hedgeAfter age of an attempt after which a second one is started
 * @param sourceBackoff time for which a failed source is not used again
 * @param corruptSourceBackoff time for which a source of corrupt bytes is not used again
 * @param retryDelay upper bound of the first delay before a failed chunk is retried
 */
public record FetchLimits(
        int maxPeerRequests,
        int maxRegionOriginFetches,
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
