package org.sequoiahill.daemon.process.log;

import java.time.Duration;

/**
 * How a leader replaces voters.
 *
 * <p>Under the manual policy, operators add and remove members, and every learner that has caught
 * up becomes a voter. Under an automatic policy, the leader admits every store that sends a hello
 * as a learner, and promotes a learner if voters are missing or one is unresponsive. It removes the
 * unresponsive voter only after the learner has become a voter, so that removing it never leaves
 * fewer voters than the target. It also removes learners that are unresponsive for longer.
 *
 * @param targetVoters number of voters that the group should have; 0 under the manual policy
 * @param silenceTimeout time without a response after which a voter may be replaced
 */
public record VoterPolicy(int targetVoters, Duration silenceTimeout) {
    private static final VoterPolicy MANUAL = new VoterPolicy(0, Duration.ZERO);

    /** Returns the policy under which only operators add and remove VMs. */
    public static VoterPolicy manual() {
        return MANUAL;
    }

    /** Returns whether the leader adds and removes VMs on its own. */
    public boolean isAutomatic() {
        return targetVoters > 0;
    }
}
