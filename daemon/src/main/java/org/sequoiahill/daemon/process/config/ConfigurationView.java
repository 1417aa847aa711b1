package org.sequoiahill.daemon.process.config;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.protocol.gen.ConfigurationDelta;
import org.tinylog.Logger;

/** The newest configuration known to this process; its revision never decreases. */
public final class ConfigurationView {
    private final Identity mIdentity;
    private final ConfigurationStorage mStorage;
    private final List<Consumer<ConfigurationSnapshot>> mListeners = new CopyOnWriteArrayList<>();
    private final Object mLock = new Object();
    private volatile ConfigurationSnapshot mCurrent = ConfigurationSnapshot.empty();

    private ConfigurationView(Identity identity, ConfigurationStorage storage) {
        mIdentity = identity;
        mStorage = storage;
    }

    /** Returns a view that starts empty and saves nothing. */
    public static ConfigurationView of(Identity identity) {
        return new ConfigurationView(identity, ConfigurationStorage.none());
    }

    /**
     * Returns a view that starts with the saved configuration, and saves each newer revision before
     * it is in force.
     *
     * <p>If the saved configuration can't be read, the view starts empty. A revision that can't be
     * saved is in force nevertheless.
     */
    public static ConfigurationView restored(Identity identity, ConfigurationStorage storage) {
        ConfigurationView view = new ConfigurationView(identity, storage);
        try {
            storage.load().ifPresent(saved -> view.apply(saved, false));
        } catch (IOException | IllegalStateException e) {
            Logger.error(e, "the saved configuration can't be read; starting without one");
        }
        return view;
    }

    /** Returns the newest configuration. */
    public ConfigurationSnapshot current() {
        return mCurrent;
    }

    /** Adds a listener that is called after each change, one change at a time. */
    public void onChange(Consumer<ConfigurationSnapshot> listener) {
        mListeners.add(listener);
    }

    /**
     * Applies a delta, unless it is old, faulty or starts after the current revision.
     *
     * @return whether the configuration changed
     */
    public boolean offer(ConfigurationDelta delta) {
        return apply(delta, true) == DeltaRule.Verdict.TAKEN;
    }

    DeltaRule.Verdict apply(ConfigurationDelta delta, boolean mustSave) {
        synchronized (mLock) {
            DeltaRule.Verdict verdict = DeltaRule.judge(delta, mCurrent.revision());
            if (verdict == DeltaRule.Verdict.TAKEN) {
                putInForce(mCurrent.with(delta.getToRevision(), delta.getDocuments()), mustSave);
            }
            return verdict;
        }
    }

    /** Returns the changes after a revision. */
    public ConfigurationDelta deltaAfter(long revision) {
        return deltaOf(mCurrent, revision);
    }

    private ConfigurationDelta deltaOf(ConfigurationSnapshot snapshot, long revision) {
        return new ConfigurationDelta(
                mIdentity.sender(),
                snapshot.revision(),
                snapshot.documentsAfter(revision),
                revision);
    }

    private void putInForce(ConfigurationSnapshot next, boolean mustSave) {
        if (mustSave) {
            save(next);
        }
        mCurrent = next;
        mIdentity.raiseConfigRevision(next.revision());
        mListeners.forEach(listener -> listener.accept(next));
    }

    /**
     * Saves a snapshot; only logs a failure, since a full disk must not keep a change from taking
     * effect.
     */
    private void save(ConfigurationSnapshot next) {
        try {
            mStorage.save(deltaOf(next, 0));
        } catch (IOException e) {
            Logger.error(e, "configuration revision {} can't be saved", next.revision());
        }
    }
}
