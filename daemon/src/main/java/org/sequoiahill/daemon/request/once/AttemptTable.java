package org.sequoiahill.daemon.request.once;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An agent's record of attempts at calls that may run once.
 *
 * <p>Each attempt starts at most once and never after it was barred. Records are kept for {@link
 * #RETENTION}; an attempt whose clock part is older than that is refused, since its record may be
 * gone. Records are bounded in number, answers also in bytes.
 */
public final class AttemptTable {
    /** Time that a record is kept. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    private final long mIncarnation;
    private final InstantSource mClock;
    private final int mMaxRecords;
    private final long mMaxAnswerBytes;
    private final Map<Key, Phase> mPhases = new LinkedHashMap<>();
    private long mAnswerBytes;
    private long mFloorMillis;

    private AttemptTable(
            long incarnation, InstantSource clock, int maxRecords, long maxAnswerBytes) {
        mIncarnation = incarnation;
        mClock = clock;
        mMaxRecords = maxRecords;
        mMaxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Returns an empty table.
     *
     * @param incarnation incarnation of this agent
     * @param clock wall clock
     * @param maxRecords attempts kept at most
     * @param maxAnswerBytes bytes of answers kept at most
     */
    public static AttemptTable of(
            long incarnation, InstantSource clock, int maxRecords, long maxAnswerBytes) {
        return new AttemptTable(incarnation, clock, maxRecords, maxAnswerBytes);
    }

    /** Whether an attempt may start. */
    public enum Start {
        /** The attempt has started now; {@link #finish} or {@link #lose} must follow. */
        STARTED,
        /** The attempt is barred, and it never starts. */
        BARRED,
        /** The attempt was meant for another run of the agent. */
        OTHER_INCARNATION,
        /** The attempt has started before. */
        REPEATED,
        /** The attempt is too old, or its clock too far ahead. */
        OUT_OF_TIME,
        /** The table has no room. */
        FULL
    }

    private record Key(long attempt, String keyDigest) {}

    private sealed interface Phase {
        record Running() implements Phase {}

        record Barred() implements Phase {}

        record Lost() implements Phase {}

        record Done(RecordedAnswer answer) implements Phase {}
    }

    /** Starts an attempt, unless it must not run. */
    public synchronized Start start(AttemptTicket ticket) {
        if (ticket.incarnation() != mIncarnation) {
            return Start.OTHER_INCARNATION;
        }
        forgetOld();
        Phase phase = mPhases.get(keyOf(ticket));
        if (phase != null) {
            return phase instanceof Phase.Barred ? Start.BARRED : Start.REPEATED;
        }
        if (isOutOfTime(ticket)) {
            return Start.OUT_OF_TIME;
        }
        if (mPhases.size() >= mMaxRecords) {
            return Start.FULL;
        }
        mPhases.put(keyOf(ticket), new Phase.Running());
        return Start.STARTED;
    }

    /** Records the answer of an attempt that has started. */
    public synchronized void finish(AttemptTicket ticket, RecordedAnswer answer) {
        forgetOld();
        long bytes = mAnswerBytes + answer.body().remaining();
        if (bytes > mMaxAnswerBytes) {
            dropAnswers(bytes - mMaxAnswerBytes);
        }
        if (mPhases.replace(keyOf(ticket), new Phase.Done(answer)) != null) {
            mAnswerBytes += answer.body().remaining();
        }
    }

    /** Records that the answer of an attempt that has started was lost. */
    public synchronized void lose(AttemptTicket ticket) {
        mPhases.replace(keyOf(ticket), new Phase.Lost());
    }

    /** Records that the endpoint has certainly not taken an attempt that has started. */
    public synchronized void cancel(AttemptTicket ticket) {
        mPhases.replace(keyOf(ticket), new Phase.Barred());
    }

    /** Bars an attempt that has not started, and says what became of one that has. */
    public synchronized BarVerdict bar(AttemptTicket ticket) {
        if (ticket.incarnation() != mIncarnation) {
            return new BarVerdict.OtherIncarnation();
        }
        forgetOld();
        Phase phase = mPhases.get(keyOf(ticket));
        if (phase instanceof Phase.Running) {
            return new BarVerdict.Running();
        } else if (phase instanceof Phase.Done done) {
            return new BarVerdict.Done(done.answer());
        } else if (phase instanceof Phase.Lost) {
            return new BarVerdict.Lost();
        } else if (phase instanceof Phase.Barred) {
            return new BarVerdict.Barred();
        }
        if (isOutOfTime(ticket)) {
            return new BarVerdict.Forgotten();
        }
        if (mPhases.size() >= mMaxRecords) {
            return new BarVerdict.Running();
        }
        mPhases.put(keyOf(ticket), new Phase.Barred());
        return new BarVerdict.Barred();
    }

    /** Returns the attempts that are on record. */
    public synchronized int size() {
        return mPhases.size();
    }

    private boolean isOutOfTime(AttemptTicket ticket) {
        long millis = AttemptNumbers.millisOf(ticket.attempt());
        return millis <= mFloorMillis || millis > mClock.millis() + RETENTION.toMillis();
    }

    private void forgetOld() {
        mFloorMillis = Math.max(mFloorMillis, mClock.millis() - RETENTION.toMillis());
        Iterator<Map.Entry<Key, Phase>> records = mPhases.entrySet().iterator();
        while (records.hasNext()) {
            Map.Entry<Key, Phase> record = records.next();
            if (AttemptNumbers.millisOf(record.getKey().attempt()) > mFloorMillis) {
                return;
            }
            if (record.getValue() instanceof Phase.Running) {
                continue;
            }
            if (record.getValue() instanceof Phase.Done done) {
                mAnswerBytes -= done.answer().body().remaining();
            }
            records.remove();
        }
    }

    /** Drops the oldest answers until some bytes are free; their attempts then count as lost. */
    private void dropAnswers(long bytes) {
        long left = bytes;
        for (Map.Entry<Key, Phase> record : mPhases.entrySet()) {
            if (left <= 0) {
                return;
            }
            if (record.getValue() instanceof Phase.Done done) {
                left -= done.answer().body().remaining();
                mAnswerBytes -= done.answer().body().remaining();
                record.setValue(new Phase.Lost());
            }
        }
    }

    private static Key keyOf(AttemptTicket ticket) {
        return new Key(ticket.attempt(), ticket.keyDigest());
    }
}
