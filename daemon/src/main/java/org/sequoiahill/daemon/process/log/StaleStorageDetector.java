package org.sequoiahill.daemon.process.log;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects other stores that run on an old copy of their storage, by comparing it with what they
 * have reported as synced.
 */
final class StaleStorageDetector {
    private final Map<StoreId, KnownStorage> mKnownStorages = new HashMap<>();

    private StaleStorageDetector() {}

    static StaleStorageDetector create() {
        return new StaleStorageDetector();
    }

    /** Judgement of the storage of a message's sender. */
    enum Verdict {
        /** The storage holds everything that its store is known to have reported as synced. */
        CURRENT,
        /**
         * The storage is older than what its store has reported, or a copy of storage that another
         * process has opened.
         */
        STALE
    }

    Verdict check(Message message) {
        KnownStorage known = mKnownStorages.get(message.from());
        Message.Start start = message.start();
        if (known == null) {
            forgetEarlierIncarnations(message.from());
            mKnownStorages.put(message.from(), new KnownStorage(start, message.term(), 0, 0));
            return Verdict.CURRENT;
        }
        if (start.count() < known.start().count() || isCopiedStorage(start, known)) {
            return Verdict.STALE;
        }
        if (start.count() > known.start().count()) {
            if (!holdsReported(start, known)) {
                return Verdict.STALE;
            }
            mKnownStorages.put(message.from(), known.restartedWith(start));
        }
        mKnownStorages.computeIfPresent(
                message.from(), (id, storage) -> storage.withTerm(message.term()));
        return Verdict.CURRENT;
    }

    /** Records that a store has reported its log as synced up to an index in a term. */
    void recordSynced(StoreId id, long term, long index) {
        mKnownStorages.computeIfPresent(id, (key, storage) -> storage.withSynced(term, index));
    }

    private void forgetEarlierIncarnations(StoreId id) {
        mKnownStorages
                .keySet()
                .removeIf(
                        known ->
                                known.vm().equals(id.vm())
                                        && known.incarnation() < id.incarnation());
    }

    /**
     * Returns whether two processes opened copies of a storage: same open count, different start.
     */
    private static boolean isCopiedStorage(Message.Start start, KnownStorage known) {
        return start.count() == known.start().count() && !start.equals(known.start());
    }

    private static boolean holdsReported(Message.Start start, KnownStorage known) {
        if (start.term() < known.term()) {
            return false;
        }
        return start.term() > known.syncedTerm() || start.lastIndex() >= known.syncedIndex();
    }

    private record KnownStorage(Message.Start start, long term, long syncedTerm, long syncedIndex) {
        KnownStorage restartedWith(Message.Start newStart) {
            return new KnownStorage(newStart, term, syncedTerm, syncedIndex);
        }

        KnownStorage withTerm(long newTerm) {
            return new KnownStorage(start, Math.max(term, newTerm), syncedTerm, syncedIndex);
        }

        KnownStorage withSynced(long newTerm, long index) {
            if (newTerm < syncedTerm || (newTerm == syncedTerm && index <= syncedIndex)) {
                return this;
            }
            return new KnownStorage(start, term, newTerm, index);
        }
    }
}
