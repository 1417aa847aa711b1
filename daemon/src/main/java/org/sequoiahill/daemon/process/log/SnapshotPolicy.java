package org.sequoiahill.daemon.process.log;

/** Decides when a snapshot replaces entries. */
final class SnapshotPolicy {
    private static final int MAX_LOG_BYTES = 16 << 20;
    private static final int RETAINED_DIVISOR = 4;

    private final int mEntries;

    private SnapshotPolicy(int entries) {
        mEntries = entries;
    }

    /** Returns a policy of a snapshot after so many entries, or sooner where they are large. */
    static SnapshotPolicy of(int entries) {
        return new SnapshotPolicy(entries);
    }

    boolean isDue(EntryLog log, long appliedIndex) {
        long behind = appliedIndex - log.snapshot().index();
        return behind >= mEntries || (behind > 0 && log.bytes() >= MAX_LOG_BYTES);
    }

    /** Returns how many entries before a snapshot stay for slow members. */
    int retainedEntries() {
        return mEntries / RETAINED_DIVISOR;
    }
}
