package org.sequoiahill.daemon.process.directory;

import java.time.Duration;

/**
 * Interval of lease renewals and duration of leases, chosen so that control traffic stays within a
 * limit.
 *
 * @param renewal interval between renewals of an agent, and between propagations of renewals by an
 *     entry
 * @param lease time for which an announcement is valid
 */
public record DirectoryIntervals(Duration renewal, Duration lease) {
    private static final Duration MIN_RENEWAL = Duration.ofSeconds(1);
    private static final int RENEWALS_PER_LEASE = 4;

    /** Bytes of a renewal and its reply. */
    private static final int RENEWAL_BYTES = 345;

    /** Bytes of a propagation message without its content, and of its reply. */
    private static final int PROPAGATION_BYTES = 140;

    /** Bytes of one renewal in a propagation message. */
    private static final int PROPAGATED_RENEWAL_BYTES = 25;

    /** Bytes per second that an entry may use for renewals and their propagation. */
    private static final int BYTES_PER_SECOND = 2_000;

    /** Returns the intervals for a data centre with the given numbers of agents and entries. */
    public static DirectoryIntervals of(int agents, int entries) {
        double agentsPerEntry = (double) agents / Math.max(1, entries);
        double messageBytes = PROPAGATION_BYTES + PROPAGATED_RENEWAL_BYTES * agentsPerEntry;
        // Each entry sends to all others, and all others send to it.
        double propagationBytes = 2.0 * Math.max(0, entries - 1) * messageBytes;
        double bytes = agentsPerEntry * RENEWAL_BYTES + propagationBytes;
        double factor = Math.max(1, bytes / BYTES_PER_SECOND);
        Duration renewal = Duration.ofMillis((long) (MIN_RENEWAL.toMillis() * factor));
        return new DirectoryIntervals(renewal, renewal.multipliedBy(RENEWALS_PER_LEASE));
    }
}
