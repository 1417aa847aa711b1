package org.sequoiahill.daemon.process.log;

import java.util.HashMap;
import java.util.Map;

/**
 * What other stores have said that they hold, so that one with an older copy of its storage is
 * noticed.
 */
final class StoreMarks {
    private final Map<StoreId, Mark> mMarks = new HashMap<>();

    private StoreMarks() {}

    static StoreMarks create() {
        return new StoreMarks();
    }

    /** What a message tells of the storage of its sender. */
    enum Verdict {
        /** The storage holds all that its store has said it holds. */
        CURRENT,
        /** The storage is older than, or a copy of, what its store has said it holds. */
        OLD
    }

    Verdict check(Message message) {
        Mark known = mMarks.get(message.from());
        Message.Start start = message.start();
        if (known == null) {
            forgetEarlier(message.from());
            mMarks.put(message.from(), new Mark(start, message.term(), 0, 0));
            return Verdict.CURRENT;
        }
        if (start.count() < known.start().count() || isOtherProcess(start, known)) {
            return Verdict.OLD;
        }
        if (start.count() > known.start().count()) {
            if (!holds(start, known)) {
                return Verdict.OLD;
            }
            mMarks.put(message.from(), known.startedAs(start));
        }
        mMarks.computeIfPresent(message.from(), (id, mark) -> mark.raisedTo(message.term()));
        return Verdict.CURRENT;
    }

    /** Notes that a store has synced its log up to an index in a term. */
    void noteHeld(StoreId id, long term, long index) {
        mMarks.computeIfPresent(id, (key, mark) -> mark.holding(term, index));
    }

    private void forgetEarlier(StoreId id) {
        mMarks.keySet()
                .removeIf(
                        known ->
                                known.vm().equals(id.vm())
                                        && known.incarnation() < id.incarnation());
    }

    private static boolean isOtherProcess(Message.Start start, Mark known) {
        return start.count() == known.start().count() && !start.equals(known.start());
    }

    private static boolean holds(Message.Start start, Mark known) {
        if (start.term() < known.term()) {
            return false;
        }
        return start.term() > known.heldTerm() || start.lastIndex() >= known.heldIndex();
    }

    private record Mark(Message.Start start, long term, long heldTerm, long heldIndex) {
        Mark startedAs(Message.Start newStart) {
            return new Mark(newStart, term, heldTerm, heldIndex);
        }

        Mark raisedTo(long newTerm) {
            return new Mark(start, Math.max(term, newTerm), heldTerm, heldIndex);
        }

        Mark holding(long newTerm, long index) {
            if (newTerm < heldTerm || (newTerm == heldTerm && index <= heldIndex)) {
                return this;
            }
            return new Mark(start, term, newTerm, index);
        }
    }
}
