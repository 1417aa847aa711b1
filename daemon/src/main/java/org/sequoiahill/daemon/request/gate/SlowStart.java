package org.sequoiahill.daemon.request.gate;

import java.time.Duration;

/**
 * Adaptive limit on the concurrent requests at an endpoint. It starts at one, grows after each
 * round in which it was used and not halved (a round has as many responses as the limit at its
 * start), and halves if latency or errors indicate a cold or overloaded endpoint.
 *
 * <p>Not thread-safe; guarded by the gate's lock.
 */
public final class SlowStart {
    /** A response is slow if its time to first byte exceeds the typical one by this factor. */
    private static final double SLOW_FACTOR = 4;

    /** A response with a shorter time to first byte is never slow. */
    private static final Duration MIN_SLOW_FIRST_BYTE = Duration.ofMillis(100);

    /** Growth factor after a round below the threshold; the limit grows by one at least. */
    private static final double GROWTH = 1.5;

    /**
     * Weights of a sample in the typical time to first byte, which follows faster samples quickly.
     */
    private static final double WEIGHT_OF_FASTER = 0.5;

    private static final double WEIGHT_OF_SLOWER = 1.0 / 64;

    private final int mCapacity;
    private final WarmUp mWarmUp;
    private final boolean mIsEnabled;
    private double mLimit = 1;

    /** Limit from which it grows by one a round instead of by {@link #GROWTH}. */
    private double mThreshold;

    private double mTypicalNanos;
    private int mResults;
    private int mSlowResults;
    private int mRoundSize = 1;
    private boolean mHasHalvedInRound;
    private boolean mIsUsedInRound;
    private int mColdResponsesLeft;

    private SlowStart(int capacity, WarmUp warmUp, boolean isEnabled) {
        mCapacity = capacity;
        mWarmUp = warmUp;
        mColdResponsesLeft = warmUp.responses();
        mIsEnabled = isEnabled;
        mThreshold = capacity;
    }

    /**
     * Limit of a cold endpoint.
     *
     * @param capacity maximum number of concurrent requests until the endpoint is warm
     * @param responses number of successful responses after a start until the endpoint is warm
     */
    public record WarmUp(int capacity, int responses) {
        /** Returns a warm-up without a limit of its own. */
        public static WarmUp none() {
            return new WarmUp(Integer.MAX_VALUE, 0);
        }
    }

    /**
     * Returns the limit of a cold endpoint that can process {@code capacity} requests once warm.
     */
    public static SlowStart cold(int capacity, WarmUp warmUp) {
        return new SlowStart(capacity, warmUp, true);
    }

    /** Returns a constant limit of {@code capacity}, for comparison in benchmarks. */
    public static SlowStart disabled(int capacity) {
        return new SlowStart(capacity, WarmUp.none(), false);
    }

    /** Returns the current limit on concurrent requests, from 1 to the capacity. */
    public int limit() {
        return mIsEnabled ? (int) mLimit : mCapacity;
    }

    /** Resets the limit to one and forgets the typical time to first byte. */
    public void restart() {
        resetToOne();
        mTypicalNanos = 0;
    }

    /**
     * Resets the limit to one after the endpoint was lost. Keeps the typical time to first byte.
     * Above half of the previous limit, the limit grows by one a round only, since the endpoint may
     * not sustain more while it is cold.
     */
    public void endpointLost() {
        double threshold = mLimit > 1 ? Math.max(1, mLimit / 2) : mThreshold;
        resetToOne();
        mThreshold = threshold;
    }

    /** Records a server error of the endpoint; halves the limit at most once a round. */
    public void responseFailed() {
        halve();
        countResult();
    }

    /**
     * Records the first byte of a successful response; halves the limit, at most once a round, if
     * more than half of the round's responses are slow.
     *
     * @param firstByte time from sending the request to the first byte of the response
     * @param running number of running requests when this one was sent, including itself
     */
    public void responseStarted(Duration firstByte, int running) {
        mColdResponsesLeft = Math.max(0, mColdResponsesLeft - 1);
        if (isSlow(firstByte)) {
            mSlowResults++;
        }
        mIsUsedInRound |= running * 2 >= (int) mLimit;
        updateTypical(firstByte.toNanos());
        if (mSlowResults * 2 > mRoundSize) {
            halve();
        }
        countResult();
    }

    /**
     * Records how long the oldest request has been waiting for its first byte; if that is slow
     * already, halves the limit, at most once a round.
     */
    public void oldestWaiting(Duration oldest) {
        if (isSlow(oldest)) {
            halve();
        }
    }

    private boolean isSlow(Duration firstByte) {
        if (mTypicalNanos == 0 || firstByte.compareTo(MIN_SLOW_FIRST_BYTE) < 0) {
            return false;
        }
        return firstByte.toNanos() > SLOW_FACTOR * mTypicalNanos;
    }

    private void updateTypical(long nanos) {
        if (mTypicalNanos == 0) {
            mTypicalNanos = nanos;
            return;
        }
        double weight = nanos < mTypicalNanos ? WEIGHT_OF_FASTER : WEIGHT_OF_SLOWER;
        mTypicalNanos += (nanos - mTypicalNanos) * weight;
    }

    private void halve() {
        if (mHasHalvedInRound) {
            return;
        }
        mHasHalvedInRound = true;
        mLimit = Math.max(1, mLimit / 2);
        mThreshold = Math.max(2, mLimit);
    }

    private void resetToOne() {
        mLimit = 1;
        mColdResponsesLeft = mWarmUp.responses();
        mThreshold = mCapacity;
        startRound();
    }

    private void countResult() {
        mResults++;
        if (mResults >= mRoundSize) {
            grow();
            startRound();
        }
    }

    /**
     * Grows the limit after a round in which at least half of it was used and it was not halved.
     */
    private void grow() {
        if (!mIsUsedInRound || mHasHalvedInRound) {
            return;
        }
        double grown = mLimit < mThreshold ? Math.max(mLimit + 1, mLimit * GROWTH) : mLimit + 1;
        mLimit = Math.min((int) grown, maxLimit());
    }

    private int maxLimit() {
        return mColdResponsesLeft > 0 ? Math.min(mWarmUp.capacity(), mCapacity) : mCapacity;
    }

    private void startRound() {
        mResults = 0;
        mSlowResults = 0;
        mHasHalvedInRound = false;
        mIsUsedInRound = false;
        mRoundSize = (int) mLimit;
    }
}
