package org.sequoiahill.daemon.version.staging;

import java.util.Map;
import org.sequoiahill.protocol.gen.Participant;

/** What an agent says of itself and of the engine beside it; each change has a new revision. */
public final class AgentState {
    private final Participant mTemplate;
    private Participant mCurrent;

    private AgentState(Participant fixed) {
        mTemplate = fixed;
        mCurrent = fixed;
    }

    /** Returns the state of an agent whose engine has nothing loaded that is known. */
    public static AgentState of(Participant fixed) {
        return new AgentState(fixed);
    }

    /** Returns what to say now. */
    public synchronized Participant participant() {
        return mCurrent;
    }

    /** Notes the engine's state; returns whether it differs from what was said before. */
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
