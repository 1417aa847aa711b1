package org.sequoiahill.daemon.process.claims;

import java.time.Duration;

/**
 * Bounds of what is recorded of calls that may run once.
 *
 * @param entries most keys that are recorded with their holder or outcome
 * @param bytes most bytes of these keys and outcomes
 * @param outcomeBytes largest body of an outcome
 * @param retention time that an outcome is kept; then a resend is refused as expired
 * @param expiredKeys most keys that are remembered as expired
 * @param expiredRetention least time that a key is remembered as expired; it may be used anew then
 */
public record ClaimLimits(
        int entries,
        long bytes,
        int outcomeBytes,
        Duration retention,
        int expiredKeys,
        Duration expiredRetention) {
    /** Returns the bounds of a daemon. */
    public static ClaimLimits standard() {
        return new ClaimLimits(
                100_000, 32L << 20, 64 << 10, Duration.ofHours(24), 1_000_000, Duration.ofDays(7));
    }
}
