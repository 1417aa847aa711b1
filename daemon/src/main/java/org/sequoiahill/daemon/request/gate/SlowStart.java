package org.sequoiahill.daemon.request.gate;

import java.time.Duration;

/**
 * Limit on the requests that an endpoint has at once: it starts at one, grows with each round of
 * successes (as many as the limit), and halves when latency or errors show a cold or overloaded
 * endpoint.
 *
 * <p>Not safe for several threads; the gate guards it.
 */
public final class SlowStart {
    /** First-byte time over the usual one, as a factor, from which an answer counts as slow. */
    private static final double SLOW_FACTOR = 4;

    /** Least first-byte time of an answer that counts as slow. */
    private static final Duration MIN_SLOW_FIRST_BYTE = Duration.ofMillis(100);

    /** Growth with a round of successes, as a factor, and at least by one. */
    private static final double GROWTH = 1.5;

    private static final double WEIGHT_OF_FASTER = 0.5;
    private static final double WEIGHT_OF_SLOWER = 1.0 / 64;

    private final int mCapacity;
    private final WarmUp mWarmUp;
    private final boolean mIsEnabled;
    private double mLimit = 1;
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
     * What an endpoint bears before it is warm.
     *
     * @param capacity requests at once
     * @param answers answers after a start until it is warm
     */
    public record WarmUp(int capacity, int responses) {
        /**
         * Returns the warm-up of an endpoint of which nothing is known but the growth of answers.
         */
        public static WarmUp none() {
            return new WarmUp(Integer.MAX_VALUE, 0);
        }
    }

    /** Returns the limit of a cold endpoint that bears {@code capacity} requests once warm. */
    public static SlowStart cold(int capacity, WarmUp warmUp) {
        return new SlowStart(capacity, warmUp, true);
    }

    /** Returns a limit that always is the capacity, to measure against. */
    public static SlowStart disabled(int capacity) {
        return new SlowStart(capacity, WarmUp.none(), false);
    }

    /** Returns the requests that the endpoint may have at once, 1 to its capacity. */
    public int limit() {
        return mIsEnabled ? (int) mLimit : mCapacity;
    }

    /** Starts again from one request, with nothing known of the endpoint. */
    public void restart() {
        resetToOne();
        mTypicalNanos = 0;
    }

    /**
     * Starts again from one request at an endpoint that was lost; its usual speed is kept, and it
     * grows by one a round from half of what it had, as it may not bear more while cold.
     */
    public void endpointLost() {
        double threshold = mLimit > 1 ? Math.max(1, mLimit / 2) : mThreshold;
        resetToOne();
        mThreshold = threshold;
    }

    /** Notes an error of the endpoint itself; halves the limit at most once a round. */
    public void responseFailed() {
        halve();
        addResult();
    }

    /**
     * Notes the first byte of an answer.
     *
     * @param firstByte time from sending to the first byte of the answer
     * @param running requests that ran when this one was sent, itself included
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
        addResult();
    }

    /**
     * Notes how long the oldest request waits for its first byte; halves the limit at most once a
     * round where that is slow already.
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

    private void addResult() {
        mResults++;
        if (mResults >= mRoundSize) {
            grow();
            startRound();
        }
    }

    /** Grows at the end of a round in which the room was used and most answers were not slow. */
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
