package org.sequoiahill.daemon.process.log;

import java.time.Duration;

/**
 * Times of a group.
 *
 * @param heartbeat interval between messages of an idle leader
 * @param electionMin least time without a leader before an election; a vote is refused for as long
 *     after a leader was heard
 * @param electionMax greatest time without a leader before an election
 */
public record LogTiming(Duration heartbeat, Duration electionMin, Duration electionMax) {
    private static final int LEASE_QUARTERS = 3;
    private static final int QUARTERS = 4;

    /** Checks the order of the times. */
    public LogTiming {
        if (heartbeat.multipliedBy(2).compareTo(electionMin) > 0
                || electionMin.compareTo(electionMax) >= 0) {
            throw new IllegalArgumentException(
                    "two heartbeats must fit in electionMin, which must be below electionMax");
        }
    }

    /** Returns how long a leader relies on an acknowledgement; leaves a margin for clock drift. */
    public Duration lease() {
        return electionMin.multipliedBy(LEASE_QUARTERS).dividedBy(QUARTERS);
    }
}
