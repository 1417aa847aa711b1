package org.sequoiahill.daemon.version.staging;

import java.util.Map;
import org.sequoiahill.protocol.gen.Participant;

/** What an agent publishes about itself and its engine; each change increments the revision. */
public final class AgentState {
    private final Participant mTemplate;
    private Participant mCurrent;

    private AgentState(Participant template) {
        mTemplate = template;
        mCurrent = template;
    }

    /** Returns the state of an agent that does not know of any loaded version yet. */
    public static AgentState of(Participant template) {
        return new AgentState(template);
    }

    /** Returns the current state. */
    public synchronized Participant participant() {
        return mCurrent;
    }

    /** Records the engine's state; returns whether it differs from the previous one. */
    synchronized boolean update(boolean isSwapping, Map<String, Long> versions) {
        if (mCurrent.isSwapping() == isSwapping && mCurrent.getVersions().equals(versions)) {
            return false;
        }
        mCurrent =
                mTemplate
                        .deepCopy()
                        .setSwapping(isSwapping)
                        .setVersions(Map.copyOf(versions))
                        .setRevision(mCurrent.getRevision() + 1);
        return true;
    }
}
