package org.sequoiahill.daemon.version.swap;

import java.time.Duration;

/**
 * Time limits and intervals of a swap.
 *
 * @param orderLifetime time after which an order that was sent can no longer take effect
 * @param readBackInterval interval of reading the engine's state while the endpoint serves; while
 *     it does not, an older reading is not acted on
 * @param retryDelay delay before a refused or failed step is retried
 */
public record SwapTiming(Duration orderLifetime, Duration readBackInterval, Duration retryDelay) {
    /** Returns the times that a daemon uses. */
    public static SwapTiming standard() {
        return new SwapTiming(
                Duration.ofSeconds(10), Duration.ofMillis(500), Duration.ofMillis(500));
    }
}
