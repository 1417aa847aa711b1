package org.sequoiahill.daemon.connection;

import java.time.Duration;

/**
 * Decides for one exchange whether its connection is dead or its peer is gone.
 *
 * <p>If an exchange waits for bytes and receives none for a time, the peer is queried over another
 * connection. The exchange stays alive as long as the peer processes it, however slowly. The
 * connection is dead if the peer has never received the request or does not know its status, or if
 * two of its replies in a row, with no activity of the exchange in between, say that it has ended
 * the response or has sent more bytes than have arrived. The peer is gone if several queries in a
 * row fail.
 */
public final class LivenessTracker {
    private final Limits mLimits;
    private Duration mLastActivity;
    private long mReceived;
    private boolean mIsWaiting = true;
    private boolean mIsQuerying;
    private int mFailedQueries;
    private boolean mWasPeerAhead;

    private LivenessTracker(Limits limits, Duration now) {
        mLimits = limits;
        mLastActivity = now;
    }

    /**
     * Limits of a tracker.
     *
     * @param quietTime time without a byte after which the peer is queried
     * @param maxFailedQueries number of consecutive failed queries after which the peer counts as
     *     gone
     */
    public record Limits(Duration quietTime, int maxFailedQueries) {}

    /** Returns a tracker of an exchange that is sent at {@code now}. */
    public static LivenessTracker of(Limits limits, Duration now) {
        return new LivenessTracker(limits, now);
    }

    /** What to do about the exchange. */
    public enum Verdict {
        /** Nothing. */
        ALIVE,
        /**
         * Query the peer; the caller must then call {@link #statusReceived} or {@link
         * #queryFailed}.
         */
        ASK,
        /** Abort: the peer never received the request and has barred it, so it has not run. */
        NEVER_ARRIVED,
        /** Abort: the peer has sent bytes that did not arrive, or its status is unknown. */
        SILENT,
        /** Abort: the peer does not respond to queries. */
        PEER_GONE
    }

    /** Status of an exchange at the peer. */
    public enum PeerState {
        /** It is running. */
        RUNNING,
        /** Its response has ended. */
        ENDED,
        /** The request never arrived, and will be refused if it does. */
        BARRED,
        /** It may have begun before the peer's oldest record. */
        UNKNOWN
    }

    /** Records that bytes have arrived; {@code total} is the number of bytes of the body so far. */
    public synchronized void received(long total, Duration now) {
        mReceived = total;
        recordActivity(now);
    }

    /** Records whether this side waits for bytes; it does not while its reader demands none. */
    public synchronized void setWaiting(boolean isWaiting, Duration now) {
        mIsWaiting = isWaiting;
        recordActivity(now);
    }

    /** Returns what to do at {@code now}. */
    public synchronized Verdict check(Duration now) {
        boolean isQuiet = now.minus(mLastActivity).compareTo(mLimits.quietTime()) >= 0;
        if (!mIsWaiting || mIsQuerying || !isQuiet) {
            return Verdict.ALIVE;
        }
        mIsQuerying = true;
        return Verdict.ASK;
    }

    /**
     * Processes the peer's response to a query.
     *
     * @param state state of the exchange at the peer
     * @param sent number of bytes of the body that the peer has sent
     */
    public synchronized Verdict statusReceived(PeerState state, long sent, Duration now) {
        if (!mIsQuerying) {
            return Verdict.ALIVE;
        }
        mIsQuerying = false;
        mFailedQueries = 0;
        if (state == PeerState.BARRED) {
            return Verdict.NEVER_ARRIVED;
        }
        if (state == PeerState.UNKNOWN) {
            return Verdict.SILENT;
        }
        boolean isPeerAhead = state == PeerState.ENDED || sent > mReceived;
        if (isPeerAhead && mWasPeerAhead) {
            return Verdict.SILENT;
        }
        mWasPeerAhead = isPeerAhead;
        mLastActivity = now;
        return Verdict.ALIVE;
    }

    /** Records that the peer has not responded to a query in time. */
    public synchronized Verdict queryFailed(Duration now) {
        if (!mIsQuerying) {
            return Verdict.ALIVE;
        }
        mIsQuerying = false;
        mLastActivity = now;
        mFailedQueries++;
        return mFailedQueries >= mLimits.maxFailedQueries() ? Verdict.PEER_GONE : Verdict.ALIVE;
    }

    private void recordActivity(Duration now) {
        mLastActivity = now;
        mIsQuerying = false;
        mFailedQueries = 0;
        mWasPeerAhead = false;
    }
}
