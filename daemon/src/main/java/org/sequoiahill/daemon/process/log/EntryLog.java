package org.sequoiahill.daemon.process.log;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The entries that a store keeps in memory, and its last snapshot. */
final class EntryLog {
    /** Returned by {@link #termAt} if the term of an entry is not in memory. */
    static final long UNKNOWN_TERM = -1;

    private final List<Entry> mEntries = new ArrayList<>();
    private final TreeMap<Long, Membership> mMemberships = new TreeMap<>();
    private Snapshot mSnapshot = Snapshot.NONE;
    private long mBaseIndex;
    private long mBaseTerm;
    private long mCommitIndex;
    private long mBytes;

    private EntryLog() {}

    static EntryLog of(StoredState stored) {
        EntryLog log = new EntryLog();
        log.install(stored.snapshot());
        log.mBaseIndex = stored.baseIndex();
        log.mBaseTerm = stored.baseTerm();
        stored.entries().forEach(log::add);
        return log;
    }

    Snapshot snapshot() {
        return mSnapshot;
    }

    /** Returns whether the store has not joined a group yet. */
    boolean isUninitialised() {
        return mSnapshot.index() == 0;
    }

    long baseIndex() {
        return mBaseIndex;
    }

    long baseTerm() {
        return mBaseTerm;
    }

    long commitIndex() {
        return mCommitIndex;
    }

    void commit(long index) {
        if (index > lastIndex()) {
            throw new IllegalStateException(
                    "commit index " + index + " exceeds last index " + lastIndex());
        }
        mCommitIndex = Math.max(mCommitIndex, index);
    }

    long lastIndex() {
        return mBaseIndex + mEntries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    /**
     * Returns the term of an entry in memory, of the entry at the base index, or of the last entry
     * that the snapshot includes; {@link #UNKNOWN_TERM} for any other entry.
     */
    long termAt(long index) {
        if (index == mBaseIndex) {
            return mBaseTerm;
        }
        if (index == mSnapshot.index()) {
            return mSnapshot.term();
        }
        if (index < mBaseIndex || index > lastIndex()) {
            return UNKNOWN_TERM;
        }
        return entryAt(index).term();
    }

    Entry entryAt(long index) {
        return mEntries.get((int) (index - mBaseIndex - 1));
    }

    /** Returns the total size of the entries in memory, in bytes. */
    long bytes() {
        return mBytes;
    }

    Collection<Entry> entries() {
        return mEntries;
    }

    /** Returns the entries of a range, up to {@code maxBytes} but at least one if there is any. */
    List<Entry> slice(long fromIndex, long toIndex, int maxBytes) {
        List<Entry> slice = new ArrayList<>();
        int bytes = 0;
        for (long index = fromIndex; index <= Math.min(toIndex, lastIndex()); index++) {
            Entry entry = entryAt(index);
            bytes += entry.size();
            if (!slice.isEmpty() && bytes > maxBytes) {
                break;
            }
            slice.add(entry);
        }
        return slice;
    }

    Membership members() {
        return mMemberships.lastEntry().getValue();
    }

    /** Returns the index of the entry or snapshot that set the current members. */
    long membersIndex() {
        return mMemberships.lastKey();
    }

    Membership membersAt(long index) {
        Map.Entry<Long, Membership> latest = mMemberships.floorEntry(index);
        return latest == null ? mSnapshot.members() : latest.getValue();
    }

    void add(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "entry " + entry.index() + " can't follow entry " + lastIndex());
        }
        mEntries.add(entry);
        mBytes += entry.size();
        if (entry.kind() == EntryKind.MEMBERS) {
            mMemberships.put(entry.index(), Membership.decode(entry.payload()));
        }
    }

    /** Removes the entries from an index on, which must not be committed. */
    void truncateFrom(long index) {
        if (index <= mCommitIndex) {
            throw new IllegalStateException(
                    "can't truncate at " + index + ", entries are committed up to " + mCommitIndex);
        }
        remove(mEntries.subList((int) (index - mBaseIndex - 1), mEntries.size()));
        mMemberships.tailMap(index, true).clear();
    }

    /** Replaces all entries by a snapshot. */
    void install(Snapshot snapshot) {
        remove(mEntries);
        mMemberships.clear();
        mSnapshot = snapshot;
        mBaseIndex = snapshot.index();
        mBaseTerm = snapshot.term();
        mMemberships.put(snapshot.index(), snapshot.members());
        mCommitIndex = Math.max(mCommitIndex, snapshot.index());
    }

    /**
     * Replaces the entries that a snapshot includes by it, except the last {@code retained} of
     * them.
     */
    void compact(Snapshot snapshot, int retained) {
        long newBase = Math.max(mBaseIndex, snapshot.index() - retained);
        long newBaseTerm = termAt(newBase);
        remove(mEntries.subList(0, (int) (newBase - mBaseIndex)));
        mBaseIndex = newBase;
        mBaseTerm = newBaseTerm;
        mSnapshot = snapshot;
        Membership members = membersAt(snapshot.index());
        mMemberships.headMap(snapshot.index(), true).clear();
        mMemberships.put(snapshot.index(), members);
    }

    private void remove(List<Entry> removed) {
        removed.forEach(entry -> mBytes -= entry.size());
        removed.clear();
    }
}
