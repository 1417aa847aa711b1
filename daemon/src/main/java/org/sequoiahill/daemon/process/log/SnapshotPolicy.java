package org.sequoiahill.daemon.process.log;

/** Decides when a snapshot replaces log entries. */
final class SnapshotPolicy {
    private static final int MAX_LOG_BYTES = 16 << 20;
    private static final int RETAINED_DIVISOR = 4;

    private final int mEntries;

    private SnapshotPolicy(int entries) {
        mEntries = entries;
    }

    /**
     * Returns a policy that makes a snapshot after a number of entries, or earlier once the entries
     * in memory reach 16 MiB.
     */
    static SnapshotPolicy of(int entries) {
        return new SnapshotPolicy(entries);
    }

    boolean isDue(EntryLog log, long appliedIndex) {
        long entriesSince = appliedIndex - log.snapshot().index();
        return entriesSince >= mEntries || (entriesSince > 0 && log.bytes() >= MAX_LOG_BYTES);
    }

    /** Returns how many entries before a snapshot are retained for slow members. */
    int retainedEntries() {
        return mEntries / RETAINED_DIVISOR;
    }
}
