package org.sequoiahill.daemon.version.fetch;

import java.time.Duration;

/**
 * Bounds of a plan.
 *
 * @param maxPeerRequests chunks asked of other agents at once
 * @param maxRegionOriginFetches chunks drawn from the origin at once by all agents of a region
 * @param stallTimeout time that a live owner may go without bringing a chunk
 * @param hedgeAfter age of an attempt beside which another is started
 * @param sourceBackoff time for which a lost source is not asked
 * @param corruptSourceBackoff time for which a source of wrong bytes is not asked
 * @param retryDelay longest first pause before a failed chunk is tried again
 */
public record FetchLimits(
        int maxPeerRequests,
        int maxRegionOriginFetches,
        Duration stallTimeout,
        Duration hedgeAfter,
        Duration sourceBackoff,
        Duration corruptSourceBackoff,
        Duration retryDelay) {
    /** Returns the bounds that a daemon uses. */
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
