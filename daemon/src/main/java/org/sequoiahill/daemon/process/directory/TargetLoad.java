package org.sequoiahill.daemon.process.directory;

import java.time.Duration;

/**
 * Load of a target as seen by this entry: requests of other entries, as reported, and its own
 * requests.
 */
public final class TargetLoad {
    private final Object mLock = new Object();
    private int mSent;
    private int mSentByOthers;
    private int mLimit;
    private Duration mPausedUntil = Duration.ZERO;

    private TargetLoad(int limit) {
        mLimit = limit;
    }

    /** Returns the load of an idle target. */
    public static TargetLoad idle(int limit) {
        return new TargetLoad(limit);
    }

    /** Records that a request was sent. */
    public void requestStarted() {
        synchronized (mLock) {
            mSent++;
        }
    }

    /** Records that a request has ended; its capacity is free at once, without a new report. */
    public void requestEnded() {
        synchronized (mLock) {
            mSent--;
        }
    }

    /**
     * Applies a load report.
     *
     * @param running requests running at the target, including those of this entry
     * @param limit requests that the target may run at once now
     */
    public void report(int running, int limit) {
        synchronized (mLock) {
            mSentByOthers = Math.max(0, running - mSent);
            mLimit = limit;
        }
    }

    /** Makes the target unavailable for new requests until a time. */
    public void pauseUntil(Duration until) {
        synchronized (mLock) {
            mPausedUntil = until;
        }
    }

    /** Ends a pause, because the target has restarted. */
    public void resume() {
        pauseUntil(Duration.ZERO);
    }

    /**
     * Treats the target as full after it refused a request; from the given time, one request may be
     * tried again.
     */
    public void markFull(Duration until) {
        synchronized (mLock) {
            mPausedUntil = until;
            mSentByOthers = Math.max(0, mLimit - mSent - 1);
        }
    }

    /** Returns the number of this entry's requests that are running at the target. */
    public int sent() {
        synchronized (mLock) {
            return mSent;
        }
    }

    /** Returns the estimated number of requests that are running at the target. */
    public int running() {
        synchronized (mLock) {
            return mSent + mSentByOthers;
        }
    }

    /** Returns the number of requests that the target may run at once. */
    public int limit() {
        synchronized (mLock) {
            return mLimit;
        }
    }

    /** Returns the load as a fraction of the limit. */
    public double utilisation() {
        synchronized (mLock) {
            return (double) (mSent + mSentByOthers) / Math.max(1, mLimit);
        }
    }

    /** Returns whether another request can be sent now. */
    public boolean hasCapacity(Duration now) {
        synchronized (mLock) {
            return mSent + mSentByOthers < mLimit && now.compareTo(mPausedUntil) >= 0;
        }
    }
}
