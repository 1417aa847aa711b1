package org.sequoiahill.daemon.process.log;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The entries that a store holds in memory, behind its snapshot. */
final class EntryLog {
    /** Term that stands for an entry that is not held. */
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
            throw new IllegalStateException("commit of " + index + " beyond " + lastIndex());
        }
        mCommitIndex = Math.max(mCommitIndex, index);
    }

    long lastIndex() {
        return mBaseIndex + mEntries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    /** Returns the term of an entry, or {@link #UNKNOWN_TERM}. */
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

    /** Returns the bytes of the entries held. */
    long bytes() {
        return mBytes;
    }

    Collection<Entry> entries() {
        return mEntries;
    }

    /** Returns entries from an index on, at least one where there is one, within a bound. */
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

    long membersIndex() {
        return mMemberships.lastKey();
    }

    Membership membersAt(long index) {
        Map.Entry<Long, Membership> held = mMemberships.floorEntry(index);
        return held == null ? mSnapshot.members() : held.getValue();
    }

    void add(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "entry " + entry.index() + " can't follow " + lastIndex());
        }
        mEntries.add(entry);
        mBytes += entry.size();
        if (entry.kind() == EntryKind.MEMBERS) {
            mMemberships.put(entry.index(), Membership.decode(entry.payload()));
        }
    }

    /** Removes entries from an index on; none of them may be committed. */
    void truncateFrom(long index) {
        if (index <= mCommitIndex) {
            throw new IllegalStateException(
                    "entry " + index + " is committed up to " + mCommitIndex);
        }
        remove(mEntries.subList((int) (index - mBaseIndex - 1), mEntries.size()));
        mMemberships.tailMap(index, true).clear();
    }

    /** Puts a snapshot in the place of all entries. */
    void install(Snapshot snapshot) {
        remove(mEntries);
        mMemberships.clear();
        mSnapshot = snapshot;
        mBaseIndex = snapshot.index();
        mBaseTerm = snapshot.term();
        mMemberships.put(snapshot.index(), snapshot.members());
        mCommitIndex = Math.max(mCommitIndex, snapshot.index());
    }

    /** Takes a snapshot of applied entries, and drops entries but the last {@code kept} of it. */
    void compact(Snapshot snapshot, int kept) {
        long newBase = Math.max(mBaseIndex, snapshot.index() - kept);
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
