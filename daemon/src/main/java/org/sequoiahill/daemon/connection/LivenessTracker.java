package org.sequoiahill.daemon.connection;

import java.time.Duration;

/**
 * Decides for one exchange whether its connection has gone silent.
 *
 * <p>An exchange that waits for bytes and sees none for a time has its peer asked over another
 * connection. A peer that works on it, however slowly, keeps it alive; one that has sent more than
 * has arrived, or has never seen it, shows that the connection has lost it.
 */
public final class LivenessTracker {
    private final Limits mBounds;
    private Duration mLastActivity;
    private long mReceived;
    private boolean mIsWaiting = true;
    private boolean mIsQuerying;
    private int mFailedQueries;
    private boolean mWasPeerAhead;

    private LivenessTracker(Limits bounds, Duration now) {
        mBounds = bounds;
        mLastActivity = now;
    }

    /**
     * Bounds of a tracker.
     *
     * @param quiet time without a byte after which the peer is asked
     * @param lostAsks asks in a row without an answer after which the peer counts as gone
     */
    public record Limits(Duration quietTime, int maxFailedQueries) {}

    /** Returns a tracker of an exchange that is sent now. */
    public static LivenessTracker of(Limits bounds, Duration now) {
        return new LivenessTracker(bounds, now);
    }

    /** What is to be done about the exchange. */
    public enum Verdict {
        /** Nothing. */
        ALIVE,
        /** Ask the peer; {@link #statusReceived} or {@link #queryFailed} must follow. */
        ASK,
        /** End the exchange: the peer has never seen it and has barred it, so it has not run. */
        NEVER_ARRIVED,
        /** End the exchange: the peer has sent what did not arrive. */
        SILENT,
        /** End the exchange: the peer answers nobody. */
        PEER_GONE
    }

    /** What a peer says of an exchange. */
    public enum PeerState {
        /** It runs. */
        RUNNING,
        /** Its answer has been sent whole. */
        ENDED,
        /** It has never arrived, and it is refused if it ever does. */
        BARRED,
        /** It may have been there before the peer's memory begins. */
        UNKNOWN
    }

    /** Notes that bytes have come; {@code total} counts those of the body. */
    public synchronized void received(long total, Duration now) {
        mReceived = total;
        recordActivity(now);
    }

    /**
     * Notes whether this side waits for bytes; a reader that stands still makes it wait no more.
     */
    public synchronized void setWaiting(boolean isWaiting, Duration now) {
        mIsWaiting = isWaiting;
        recordActivity(now);
    }

    /** Returns what to do at this time. */
    public synchronized Verdict check(Duration now) {
        boolean isQuiet = now.minus(mLastActivity).compareTo(mBounds.quietTime()) >= 0;
        if (!mIsWaiting || mIsQuerying || !isQuiet) {
            return Verdict.ALIVE;
        }
        mIsQuerying = true;
        return Verdict.ASK;
    }

    /** Takes the peer's answer: its state, and the bytes of the body that it has sent. */
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
        boolean isAhead = state == PeerState.ENDED || sent > mReceived;
        if (isAhead && mWasPeerAhead) {
            return Verdict.SILENT;
        }
        mWasPeerAhead = isAhead;
        mLastActivity = now;
        return Verdict.ALIVE;
    }

    /** Notes that the peer has not answered an ask. */
    public synchronized Verdict queryFailed(Duration now) {
        if (!mIsQuerying) {
            return Verdict.ALIVE;
        }
        mIsQuerying = false;
        mLastActivity = now;
        mFailedQueries++;
        return mFailedQueries >= mBounds.maxFailedQueries() ? Verdict.PEER_GONE : Verdict.ALIVE;
    }

    private void recordActivity(Duration now) {
        mLastActivity = now;
        mIsQuerying = false;
        mFailedQueries = 0;
        mWasPeerAhead = false;
    }
}
