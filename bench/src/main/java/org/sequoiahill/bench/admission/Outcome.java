package org.sequoiahill.bench.admission;

import java.time.Duration;

/** What the caller of one request has got so far. */
final class Outcome implements ModelCall.Listener {
    private final PlayedRequest mRequest;
    private Duration mLastEventAt = Duration.ZERO;
    private boolean mHasBegun;
    private boolean mIsLate;
    private boolean mIsEnded;
    private int mRefusals;

    Outcome(PlayedRequest request) {
        mRequest = request;
    }

    @Override
    public void event(Duration at) {
        Duration since = mHasBegun ? mLastEventAt : mRequest.arrivedAt();
        RequestKind kind = mRequest.kind();
        Duration target = mHasBegun ? kind.pauseTarget() : kind.firstEventTarget();
        mIsLate |= at.minus(since).compareTo(target) > 0;
        mHasBegun = true;
        mLastEventAt = at;
    }

    @Override
    public void ended(Duration at) {
        mIsEnded = true;
    }

    void refused() {
        mRefusals++;
    }

    PlayedRequest request() {
        return mRequest;
    }

    boolean isOnTime() {
        return mIsEnded && !mIsLate;
    }

    boolean isServedLate() {
        return mIsEnded && mIsLate;
    }

    boolean isRefused() {
        return !mIsEnded && mRefusals > 0;
    }

    /** Returns what the answer was worth to the caller. */
    double earned() {
        if (!mIsEnded) {
            return 0;
        }
        return mIsLate ? mRequest.lateWorth() : mRequest.worth();
    }
}
