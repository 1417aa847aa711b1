package org.sequoiahill.daemon.request.once;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An agent's record of attempts at requests that must run at most once.
 *
 * <p>Each attempt starts at most once, and never after it was barred. Records are kept for at least
 * {@link #RETENTION} after the time in the attempt's number; an older attempt is refused, since its
 * record may be evicted already. The number of records and the total size of the responses are
 * limited; the oldest responses over the limit are evicted, and their attempts count as lost.
 */
public final class AttemptTable {
    /** Minimum time for which a record is kept. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    private final long mIncarnation;
    private final InstantSource mClock;
    private final int mMaxRecords;
    private final long mMaxResponseBytes;
    private final Map<Key, Phase> mPhases = new LinkedHashMap<>();
    private long mResponseBytes;
    private long mExpiredUpToMillis;

    private AttemptTable(
            long incarnation, InstantSource clock, int maxRecords, long maxResponseBytes) {
        mIncarnation = incarnation;
        mClock = clock;
        mMaxRecords = maxRecords;
        mMaxResponseBytes = maxResponseBytes;
    }

    /**
     * Returns an empty table.
     *
     * @param incarnation incarnation of this agent
     * @param clock wall clock
     * @param maxRecords limit on the number of attempts
     * @param maxResponseBytes limit on the total size of recorded responses
     */
    public static AttemptTable of(
            long incarnation, InstantSource clock, int maxRecords, long maxResponseBytes) {
        return new AttemptTable(incarnation, clock, maxRecords, maxResponseBytes);
    }

    /** Result of {@link #start}. */
    public enum StartResult {
        /**
         * The attempt has started; {@link #complete}, {@link #markLost} or {@link #markNotRun} must
         * follow.
         */
        STARTED,
        /** The attempt is barred and never starts. */
        BARRED,
        /** The attempt was sent to another process of the agent. */
        OTHER_INCARNATION,
        /** The attempt has started before. */
        ALREADY_STARTED,
        /** The attempt's time is too old, or too far in the future. */
        OUTSIDE_TIME_WINDOW,
        /** The table has reached its limit on records. */
        FULL
    }

    private record Key(long attempt, String keyDigest) {}

    private sealed interface Phase {
        record Running() implements Phase {}

        record Barred() implements Phase {}

        record Lost() implements Phase {}

        record Done(RecordedResponse response) implements Phase {}
    }

    /** Starts an attempt, unless it must not run. */
    public synchronized StartResult start(AttemptTicket ticket) {
        if (ticket.incarnation() != mIncarnation) {
            return StartResult.OTHER_INCARNATION;
        }
        evictExpired();
        Phase phase = mPhases.get(keyOf(ticket));
        if (phase != null) {
            return phase instanceof Phase.Barred ? StartResult.BARRED : StartResult.ALREADY_STARTED;
        }
        if (isOutsideTimeWindow(ticket)) {
            return StartResult.OUTSIDE_TIME_WINDOW;
        }
        if (mPhases.size() >= mMaxRecords) {
            return StartResult.FULL;
        }
        mPhases.put(keyOf(ticket), new Phase.Running());
        return StartResult.STARTED;
    }

    /** Records the response of an attempt that has started. */
    public synchronized void complete(AttemptTicket ticket, RecordedResponse response) {
        evictExpired();
        long bytes = mResponseBytes + response.body().remaining();
        if (bytes > mMaxResponseBytes) {
            evictResponses(bytes - mMaxResponseBytes);
        }
        if (mPhases.replace(keyOf(ticket), new Phase.Done(response)) != null) {
            mResponseBytes += response.body().remaining();
        }
    }

    /** Records that the response of an attempt that has started was lost. */
    public synchronized void markLost(AttemptTicket ticket) {
        mPhases.replace(keyOf(ticket), new Phase.Lost());
    }

    /**
     * Records that the endpoint has certainly not received an attempt that has started; the attempt
     * is barred.
     */
    public synchronized void markNotRun(AttemptTicket ticket) {
        mPhases.replace(keyOf(ticket), new Phase.Barred());
    }

    /**
     * Bars an attempt that has not started, so that it never starts, and returns the state of one
     * that has. If the table is full, the attempt is not barred but reported as running, so that
     * the requester tries again later.
     */
    public synchronized BarVerdict bar(AttemptTicket ticket) {
        if (ticket.incarnation() != mIncarnation) {
            return new BarVerdict.OtherIncarnation();
        }
        evictExpired();
        Phase phase = mPhases.get(keyOf(ticket));
        if (phase instanceof Phase.Running) {
            return new BarVerdict.Running();
        } else if (phase instanceof Phase.Done done) {
            return new BarVerdict.Done(done.response());
        } else if (phase instanceof Phase.Lost) {
            return new BarVerdict.Lost();
        } else if (phase instanceof Phase.Barred) {
            return new BarVerdict.Barred();
        }
        if (isOutsideTimeWindow(ticket)) {
            return new BarVerdict.Forgotten();
        }
        if (mPhases.size() >= mMaxRecords) {
            return new BarVerdict.Running();
        }
        mPhases.put(keyOf(ticket), new Phase.Barred());
        return new BarVerdict.Barred();
    }

    /** Returns the number of recorded attempts. */
    public synchronized int size() {
        return mPhases.size();
    }

    private boolean isOutsideTimeWindow(AttemptTicket ticket) {
        long millis = AttemptNumberGenerator.millisOf(ticket.attempt());
        return millis <= mExpiredUpToMillis || millis > mClock.millis() + RETENTION.toMillis();
    }

    private void evictExpired() {
        mExpiredUpToMillis = Math.max(mExpiredUpToMillis, mClock.millis() - RETENTION.toMillis());
        Iterator<Map.Entry<Key, Phase>> records = mPhases.entrySet().iterator();
        while (records.hasNext()) {
            Map.Entry<Key, Phase> record = records.next();
            if (AttemptNumberGenerator.millisOf(record.getKey().attempt()) > mExpiredUpToMillis) {
                return;
            }
            if (record.getValue() instanceof Phase.Running) {
                continue;
            }
            if (record.getValue() instanceof Phase.Done done) {
                mResponseBytes -= done.response().body().remaining();
            }
            records.remove();
        }
    }

    /**
     * Evicts the oldest responses until {@code bytes} are free; their attempts then count as lost.
     */
    private void evictResponses(long bytes) {
        long remaining = bytes;
        for (Map.Entry<Key, Phase> record : mPhases.entrySet()) {
            if (remaining <= 0) {
                return;
            }
            if (record.getValue() instanceof Phase.Done done) {
                remaining -= done.response().body().remaining();
                mResponseBytes -= done.response().body().remaining();
                record.setValue(new Phase.Lost());
            }
        }
    }

    private static Key keyOf(AttemptTicket ticket) {
        return new Key(ticket.attempt(), ticket.keyDigest());
    }
}
