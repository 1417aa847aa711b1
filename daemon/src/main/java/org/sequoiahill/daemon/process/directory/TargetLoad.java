package org.sequoiahill.daemon.process.directory;

import java.time.Duration;

/**
 * Load of a place as this entry sees it: what was reported of others, and what it has sent itself.
 */
public final class TargetLoad {
    private final Object mLock = new Object();
    private int mSent;
    private int mOthers;
    private int mLimit;
    private Duration mShutUntil = Duration.ZERO;

    private TargetLoad(int limit) {
        mLimit = limit;
    }

    /** Returns the load of a place where nothing runs. */
    public static TargetLoad idle(int limit) {
        return new TargetLoad(limit);
    }

    /** Notes a request sent. */
    public void requestStarted() {
        synchronized (mLock) {
            mSent++;
        }
    }

    /** Notes the end of a request; its room is free, whatever was said before. */
    public void requestEnded() {
        synchronized (mLock) {
            mSent--;
        }
    }

    /**
     * Takes a report in.
     *
     * @param running requests at the place, those of this entry included
     * @param limit requests that the place bears now
     */
    public void report(int running, int limit) {
        synchronized (mLock) {
            mOthers = Math.max(0, running - mSent);
            mLimit = limit;
        }
    }

    /** Sends nothing there for a time. */
    public void pauseUntil(Duration until) {
        synchronized (mLock) {
            mShutUntil = until;
        }
    }

    /** Ends a pause, as the place has started anew. */
    public void resume() {
        pauseUntil(Duration.ZERO);
    }

    /** Takes a refusal for want of room in: one request may try again once the time has come. */
    public void markFull(Duration until) {
        synchronized (mLock) {
            mShutUntil = until;
            mOthers = Math.max(0, mLimit - mSent - 1);
        }
    }

    /** Returns the requests that this entry has running there. */
    public int sent() {
        synchronized (mLock) {
            return mSent;
        }
    }

    /** Returns the requests that probably run there. */
    public int running() {
        synchronized (mLock) {
            return mSent + mOthers;
        }
    }

    /** Returns the requests that the place bears. */
    public int limit() {
        synchronized (mLock) {
            return mLimit;
        }
    }

    /** Returns the load as a share of what the place bears. */
    public double utilisation() {
        synchronized (mLock) {
            return (double) (mSent + mOthers) / Math.max(1, mLimit);
        }
    }

    /** Returns whether another request can be sent now. */
    public boolean hasCapacity(Duration now) {
        synchronized (mLock) {
            return mSent + mOthers < mLimit && now.compareTo(mShutUntil) >= 0;
        }
    }
}
