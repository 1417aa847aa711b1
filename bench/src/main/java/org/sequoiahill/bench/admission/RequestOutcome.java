package org.sequoiahill.bench.admission;

import java.time.Duration;

/** What the caller of one request has received so far. */
final class RequestOutcome implements ModelCall.Listener {
    private final SimulatedRequest mRequest;
    private Duration mLastEventAt = Duration.ZERO;
    private boolean mHasBegun;
    private boolean mIsLate;
    private boolean mIsCompleted;
    private int mRefusals;

    RequestOutcome(SimulatedRequest request) {
        mRequest = request;
    }

    @Override
    public void onEvent(Duration at) {
        Duration previous = mHasBegun ? mLastEventAt : mRequest.arrivedAt();
        RequestKind kind = mRequest.kind();
        Duration target = mHasBegun ? kind.pauseTarget() : kind.firstEventTarget();
        mIsLate |= at.minus(previous).compareTo(target) > 0;
        mHasBegun = true;
        mLastEventAt = at;
    }

    @Override
    public void onCompleted(Duration at) {
        mIsCompleted = true;
    }

    void onRefused() {
        mRefusals++;
    }

    SimulatedRequest request() {
        return mRequest;
    }

    boolean isOnTime() {
        return mIsCompleted && !mIsLate;
    }

    boolean isServedLate() {
        return mIsCompleted && mIsLate;
    }

    boolean isRefused() {
        return !mIsCompleted && mRefusals > 0;
    }

    /** Returns the worth of the response to the caller; 0 if it has not completed. */
    double earnedWorth() {
        if (!mIsCompleted) {
            return 0;
        }
        return mIsLate ? mRequest.lateWorth() : mRequest.worth();
    }
}
