package org.sequoiahill.daemon.request.retry;

/** Retries as a share of the traffic: each first attempt adds a part of a retry, up to a bound. */
public final class RetryBudget {
    private final double mRetriesPerRequest;
    private final double mMaxTokens;
    private final Object mLock = new Object();
    private double mTokens;

    private RetryBudget(double share, double max) {
        mRetriesPerRequest = share;
        mMaxTokens = max;
        mTokens = max;
    }

    /**
     * Returns a full budget.
     *
     * @param share retries a request
     * @param max most retries that are saved up
     */
    public static RetryBudget of(double share, double max) {
        return new RetryBudget(share, max);
    }

    /** Returns a budget that never ends, to measure against. */
    public static RetryBudget unbounded() {
        return new RetryBudget(0, Double.POSITIVE_INFINITY);
    }

    /** Notes a first attempt. */
    public void deposit() {
        synchronized (mLock) {
            mTokens = Math.min(mMaxTokens, mTokens + mRetriesPerRequest);
        }
    }

    /** Takes a retry, if there is one. */
    public boolean withdraw() {
        synchronized (mLock) {
            if (mTokens < 1) {
                return false;
            }
            mTokens--;
            return true;
        }
    }
}
