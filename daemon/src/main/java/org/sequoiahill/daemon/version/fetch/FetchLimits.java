package org.sequoiahill.daemon.version.fetch;

import java.time.Duration;

/**
 * Bounds of a plan.
 *
 * @param asksInFlight chunks asked of other agents at once
 * @param regionDrawsInFlight chunks drawn from the origin at once by all agents of a region
 * @param patience time that a live owner may go without bringing a chunk
 * @param slowAfter age of an attempt beside which another is started
 * @param passOver time for which a lost source is not asked
 * @param wrongPassOver time for which a source of wrong bytes is not asked
 * @param retryDelay longest first pause before a failed chunk is tried again
 */
public record FetchLimits(
        int asksInFlight,
        int regionDrawsInFlight,
        Duration patience,
        Duration slowAfter,
        Duration passOver,
        Duration wrongPassOver,
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
