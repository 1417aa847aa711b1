package org.sequoiahill.daemon.process.directory;

import java.time.Duration;

/**
 * How often leases are renewed and how long they last, so that control bytes stay in their bound.
 *
 * @param renewal time between two renewals of an agent, and between two spreads of an entry
 * @param lease time that an announcement stays valid
 */
public record DirectoryIntervals(Duration renewal, Duration lease) {
    private static final Duration LEAST_RENEWAL = Duration.ofSeconds(1);
    private static final int RENEWALS_PER_LEASE = 4;

    /** Bytes of a renewal and its answer. */
    private static final int RENEWAL_BYTES = 345;

    /** Bytes of a spread and its answer without what it carries. */
    private static final int SPREAD_BYTES = 140;

    /** Bytes of one renewal in a spread. */
    private static final int SPREAD_RENEWAL_BYTES = 25;

    /** Bytes a second that an entry may spend on renewals and their spreading. */
    private static final int BYTES_PER_SECOND = 2_000;

    /** Returns the intervals of a data centre. */
    public static DirectoryIntervals of(int agents, int entries) {
        double agentsPerEntry = (double) agents / Math.max(1, entries);
        double spread = SPREAD_BYTES + SPREAD_RENEWAL_BYTES * agentsPerEntry;
        // Each entry spreads to the others, and the others to it.
        double spreads = 2.0 * Math.max(0, entries - 1) * spread;
        double bytes = agentsPerEntry * RENEWAL_BYTES + spreads;
        double factor = Math.max(1, bytes / BYTES_PER_SECOND);
        Duration renewal = Duration.ofMillis((long) (LEAST_RENEWAL.toMillis() * factor));
        return new DirectoryIntervals(renewal, renewal.multipliedBy(RENEWALS_PER_LEASE));
    }
}
