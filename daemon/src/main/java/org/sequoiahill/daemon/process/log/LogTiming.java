package org.sequoiahill.daemon.process.log;

import java.time.Duration;

/**
 * Heartbeat and election timing of a group.
 *
 * @param heartbeat interval of the heartbeats of a leader
 * @param electionMin shortest election timeout; for this long after contact with a leader, a store
 *     ignores vote requests unless leadership is being transferred
 * @param electionMax longest election timeout
 */
public record LogTiming(Duration heartbeat, Duration electionMin, Duration electionMax) {
    private static final int LEASE_QUARTERS = 3;
    private static final int QUARTERS = 4;

    /** Checks the order of the durations. */
    public LogTiming {
        if (heartbeat.multipliedBy(2).compareTo(electionMin) > 0
                || electionMin.compareTo(electionMax) >= 0) {
            throw new IllegalArgumentException(
                    "two heartbeats must fit in electionMin, which must be below electionMax");
        }
    }

    /**
     * Returns how long the leader's lease lasts from the sending of a message that a quorum has
     * acknowledged; shorter than {@code electionMin} by a margin for clock drift.
     */
    public Duration lease() {
        return electionMin.multipliedBy(LEASE_QUARTERS).dividedBy(QUARTERS);
    }
}
