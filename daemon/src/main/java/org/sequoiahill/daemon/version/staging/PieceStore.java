package org.sequoiahill.daemon.version.staging;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/** Holds the verified pieces of the two versions added last, in memory. */
public final class PieceStore {
    /** Versions that are kept: the one being served and the one being fetched. */
    private static final int MAX_VERSIONS = 2;

    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mAdded = mLock.newCondition();
    private final LinkedHashMap<Version, Map<Integer, byte[]>> mVersions = new LinkedHashMap<>();

    private record Version(String model, long version) {}

    /** Adds a piece whose digest has been verified. */
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

    /** Returns a piece, and waits up to {@code timeout} for it to be added. */
    public Optional<byte[]> piece(String model, long version, int piece, Duration timeout)
            throws InterruptedException {
        Version key = new Version(model, version);
        mLock.lockInterruptibly();
        try {
            long remaining = timeout.toNanos();
            byte[] content = get(key, piece);
            while (content == null && remaining > 0) {
                remaining = mAdded.awaitNanos(remaining);
                content = get(key, piece);
            }
            return Optional.ofNullable(content);
        } finally {
            mLock.unlock();
        }
    }

    /** Returns whether a piece is held. */
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
