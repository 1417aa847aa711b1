package org.sequoiahill.daemon.version.staging;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/** Checked pieces of the last versions, in memory, for this agent's engine and for other agents. */
public final class PieceStore {
    /** Versions that are kept: the one that serves and the one on its way. */
    private static final int MAX_VERSIONS = 2;

    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mAdded = mLock.newCondition();
    private final LinkedHashMap<Version, Map<Integer, byte[]>> mVersions = new LinkedHashMap<>();

    private record Version(String model, long version) {}

    /** Adds a piece whose digest was checked. */
    public void add(String model, long version, int piece, byte[] content) {
        mLock.lock();
        try {
            mVersions
                    .computeIfAbsent(new Version(model, version), key -> new HashMap<>())
                    .put(piece, content);
            while (mVersions.size() > MAX_VERSIONS) {
                mVersions.remove(mVersions.keySet().iterator().next());
            }
            mAdded.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /** Returns a piece, after a wait for it where it isn't there. */
    public Optional<byte[]> piece(String model, long version, int piece, Duration wait)
            throws InterruptedException {
        Version key = new Version(model, version);
        mLock.lockInterruptibly();
        try {
            long left = wait.toNanos();
            byte[] content = get(key, piece);
            while (content == null && left > 0) {
                left = mAdded.awaitNanos(left);
                content = get(key, piece);
            }
            return Optional.ofNullable(content);
        } finally {
            mLock.unlock();
        }
    }

    /** Returns whether a piece is here. */
    public boolean holds(String model, long version, int piece) {
        mLock.lock();
        try {
            return get(new Version(model, version), piece) != null;
        } finally {
            mLock.unlock();
        }
    }

    private byte @Nullable [] get(Version version, int piece) {
        Map<Integer, byte[]> pieces = mVersions.get(version);
        return pieces == null ? null : pieces.get(piece);
    }
}
