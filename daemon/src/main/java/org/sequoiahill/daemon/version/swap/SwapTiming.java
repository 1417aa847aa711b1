package org.sequoiahill.daemon.version.swap;

import java.time.Duration;

/**
 * Times of a swap.
 *
 * @param orderLifetime time after which an order that was sent can take effect no more
 * @param readBackInterval time between two read-backs while the endpoint serves
 * @param retryDelay pause before a refused or failed step is tried again
 */
public record SwapTiming(Duration orderLifetime, Duration readBackInterval, Duration retryDelay) {
    /** Returns the times that a daemon uses. */
    public static SwapTiming standard() {
        return new SwapTiming(
                Duration.ofSeconds(10), Duration.ofMillis(500), Duration.ofMillis(500));
    }
}
