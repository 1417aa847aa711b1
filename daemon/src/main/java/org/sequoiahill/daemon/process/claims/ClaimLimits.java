package org.sequoiahill.daemon.process.claims;

import java.time.Duration;

/**
 * Limits of the records of calls that may run at most once.
 *
 * @param entries maximum number of records, including those of released claims
 * @param bytes maximum total size of these records, counting a character of a name or key as one
 *     byte and including a fixed overhead per record
 * @param outcomeBytes maximum size of the body of an outcome, in bytes
 * @param retention time after which a claim or outcome expires, and a resend is refused; outcomes
 *     expire earlier if the limits leave no room for new records, and neither expires while no more
 *     expired keys can be recorded
 * @param expiredKeys maximum number of keys recorded as expired
 * @param expiredRetention minimum time for which a key is recorded as expired; it may be reused
 *     afterwards
 */
public record ClaimLimits(
        int entries,
        long bytes,
        int outcomeBytes,
        Duration retention,
        int expiredKeys,
        Duration expiredRetention) {
    /** Returns the limits that daemons use. */
    public static ClaimLimits standard() {
        return new ClaimLimits(
                100_000, 32L << 20, 64 << 10, Duration.ofHours(24), 1_000_000, Duration.ofDays(7));
    }
}
