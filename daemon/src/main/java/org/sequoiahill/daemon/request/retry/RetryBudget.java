package org.sequoiahill.daemon.request.retry;

/**
 * Token bucket that limits retries to a share of the traffic: each request adds a fraction of a
 * retry before it is queued, up to a maximum.
 */
public final class RetryBudget {
    private final double mRetriesPerRequest;
    private final double mMaxTokens;
    private final Object mLock = new Object();
    private double mTokens;

    private RetryBudget(double retriesPerRequest, double maxTokens) {
        mRetriesPerRequest = retriesPerRequest;
        mMaxTokens = maxTokens;
        mTokens = maxTokens;
    }

    /**
     * Returns a full budget.
     *
     * @param retriesPerRequest tokens that each request adds; a retry takes one
     * @param maxTokens maximum number of tokens
     */
    public static RetryBudget of(double retriesPerRequest, double maxTokens) {
        return new RetryBudget(retriesPerRequest, maxTokens);
    }

    /** Returns an unlimited budget, as a baseline for measurements. */
    public static RetryBudget unbounded() {
        return new RetryBudget(0, Double.POSITIVE_INFINITY);
    }

    /** Adds the tokens of a request. */
    public void deposit() {
        synchronized (mLock) {
            mTokens = Math.min(mMaxTokens, mTokens + mRetriesPerRequest);
        }
    }

    /** Takes one token if available; returns whether a retry is allowed. */
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
