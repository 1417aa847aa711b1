package org.sequoiahill.daemon.process.log;

import java.time.Duration;

/**
 * How a leader fills the seats of the voters.
 *
 * <p>With a policy by order, operators add and remove members, and every learner that has caught up
 * votes. An automatic policy takes in each store that asks, and gives a learner the seat of a voter
 * that has fallen silent; the silent one is removed only once its successor votes, so that no
 * change of members leaves fewer voters than seats.
 *
 * @param targetVoters voters that the group should have, 0 where operators decide
 * @param silenceTimeout silence after which a voter's seat may be given away
 */
public record VoterPolicy(int targetVoters, Duration silenceTimeout) {
    private static final VoterPolicy BY_ORDER = new VoterPolicy(0, Duration.ZERO);

    /** Returns the policy by which members change by order only. */
    public static VoterPolicy manual() {
        return BY_ORDER;
    }

    /** Returns whether the leader changes members by itself. */
    public boolean isAutomatic() {
        return targetVoters > 0;
    }
}
