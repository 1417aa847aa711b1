package org.sequoiahill.daemon.process.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.protocol.gen.ConfigurationDelta;

/** The newest configuration that this process knows; its revision never falls. */
public final class ConfigurationView {
    private final Identity mIdentity;
    private final List<Consumer<ConfigurationSnapshot>> mListeners = new CopyOnWriteArrayList<>();
    private final Object mLock = new Object();
    private volatile ConfigurationSnapshot mCurrent = ConfigurationSnapshot.empty();

    private ConfigurationView(Identity identity) {
        mIdentity = identity;
    }

    /** Returns an empty view whose revision is told by the identity. */
    public static ConfigurationView of(Identity identity) {
        return new ConfigurationView(identity);
    }

    /** Returns the newest configuration. */
    public ConfigurationSnapshot current() {
        return mCurrent;
    }

    /** Adds a listener that is called after each change, one call at a time. */
    public void onChange(Consumer<ConfigurationSnapshot> listener) {
        mListeners.add(listener);
    }

    /**
     * Takes a delta in, unless it is old or starts behind what is held.
     *
     * @return whether the configuration changed
     */
    public boolean offer(ConfigurationDelta delta) {
        synchronized (mLock) {
            long held = mCurrent.revision();
            if (delta.getToRevision() <= held || delta.getAfterRevision() > held) {
                return false;
            }
            publish(mCurrent.with(delta.getToRevision(), delta.getDocuments()));
            return true;
        }
    }

    /** Returns what changed behind a revision. */
    public ConfigurationDelta deltaAfter(long revision) {
        ConfigurationSnapshot snapshot = mCurrent;
        return new ConfigurationDelta(
                mIdentity.sender(),
                snapshot.revision(),
                snapshot.documentsAfter(revision),
                revision);
    }

    private void publish(ConfigurationSnapshot next) {
        mCurrent = next;
        mIdentity.raiseConfigRevision(next.revision());
        mListeners.forEach(listener -> listener.accept(next));
    }
}
