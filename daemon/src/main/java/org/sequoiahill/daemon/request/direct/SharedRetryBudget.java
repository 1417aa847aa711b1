package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This entry's share of the retries that a service may receive in any window of a given length.
 *
 * <p>The limit holds for all entries together, even if processes of entries end during the window.
 * Each retry is therefore paid for by requests that arrived at the same process shortly before, or
 * by this entry's share of the slack. A request gives credit once, for half of the ratio: the
 * retries that arrive in a window were paid for by requests of that window and the one before it,
 * and half of the requests of both are never more than all requests of the busier one. Not
 * thread-safe.
 */
final class SharedRetryBudget {
    /** Fraction of the ratio for which a request gives credit. */
    private static final double CREDIT_RATIO = 0.5;

    /**
     * Fraction of the slack that is used; the rest allows for entries that briefly disagree on
     * their number.
     */
    private static final double SLACK_USE_RATIO = 0.8;

    /** Maximum time from the decision to retry until the retry arrives at the endpoint. */
    private static final Duration MAX_ARRIVAL_DELAY = Duration.ofSeconds(1);

    /** Cost of a retry in units of credit; integers keep sums of fractions exact. */
    private static final long RETRY_COST = 1_000_000;

    private final DirectSettings mSettings;
    private final Duration mCreditLifetime;
    private final long mCreditPerRequest;
    private final Deque<Duration> mCreditedRequests = new ArrayDeque<>();
    private final Deque<SlackUse> mSlackUses = new ArrayDeque<>();
    private final Deque<Duration> mRetries = new ArrayDeque<>();
    private long mOldestUsedCredit;
    private long mSlackUsed;

    private SharedRetryBudget(DirectSettings settings) {
        mSettings = settings;
        Duration window = settings.retryWindow();
        Duration half = window.dividedBy(2);
        Duration shortened = window.minus(MAX_ARRIVAL_DELAY);
        mCreditLifetime = shortened.compareTo(half) > 0 ? shortened : half;
        mCreditPerRequest = (long) (CREDIT_RATIO * settings.retryRatio() * RETRY_COST);
    }

    static SharedRetryBudget of(DirectSettings settings) {
        return new SharedRetryBudget(settings);
    }

    /** Returns the time for which used slack counts against the limit. */
    static Duration slackWindow(DirectSettings settings) {
        return settings.retryWindow().plus(MAX_ARRIVAL_DELAY);
    }

    /** Decision of a budget on a retry. */
    enum Verdict {
        /** Allowed, and paid for by requests. */
        RATIO,
        /** Allowed, and paid for at least partly by the slack. */
        SLACK,
        /** Not allowed. */
        DENIED
    }

    /**
     * State of a budget after a decision, for the log.
     *
     * @param now monotonic time
     * @param requests requests with unused credit
     * @param retries retries in the last {@link #slackWindow}
     * @param entries number of entries that share the slack, 0 if this one has no share
     */
    record Usage(Duration now, int requests, int retries, int entries) {}

    private record SlackUse(Duration at, long amount) {}

    /** Records a request, which gives credit. */
    void onRequest(Duration now) {
        evictExpired(now);
        if (mCreditPerRequest > 0) {
            mCreditedRequests.addLast(now);
        }
    }

    /**
     * Takes one retry from the budget if it suffices.
     *
     * @param entries number of entries that share the slack, 0 if this one has no share
     */
    Verdict tryAcquire(Duration now, int entries) {
        evictExpired(now);
        long fromCredit =
                Math.min(
                        RETRY_COST,
                        mCreditedRequests.size() * mCreditPerRequest - mOldestUsedCredit);
        long fromSlack = RETRY_COST - fromCredit;
        if (fromSlack > 0 && mSlackUsed + fromSlack > slackShare(entries)) {
            return Verdict.DENIED;
        }
        spendCredit(fromCredit);
        mRetries.addLast(now);
        if (fromSlack == 0) {
            return Verdict.RATIO;
        }
        mSlackUses.addLast(new SlackUse(now, fromSlack));
        mSlackUsed += fromSlack;
        return Verdict.SLACK;
    }

    /** Returns the state of the budget. */
    Usage usage(Duration now, int entries) {
        evictExpired(now);
        return new Usage(now, mCreditedRequests.size(), mRetries.size(), entries);
    }

    private long slackShare(int entries) {
        return entries == 0
                ? 0
                : (long) (SLACK_USE_RATIO * mSettings.retrySlack() * RETRY_COST / entries);
    }

    private void spendCredit(long amount) {
        long usedCredit = mOldestUsedCredit + amount;
        while (usedCredit > 0 && usedCredit >= mCreditPerRequest) {
            mCreditedRequests.removeFirst();
            usedCredit -= mCreditPerRequest;
        }
        mOldestUsedCredit = usedCredit;
    }

    private void evictExpired(Duration now) {
        Duration oldestCredited = now.minus(mCreditLifetime);
        while (!mCreditedRequests.isEmpty()
                && mCreditedRequests.peekFirst().compareTo(oldestCredited) < 0) {
            mCreditedRequests.removeFirst();
            mOldestUsedCredit = 0;
        }
        Duration oldest = now.minus(slackWindow(mSettings));
        while (!mSlackUses.isEmpty() && mSlackUses.peekFirst().at().compareTo(oldest) < 0) {
            mSlackUsed -= mSlackUses.removeFirst().amount();
        }
        while (!mRetries.isEmpty() && mRetries.peekFirst().compareTo(oldest) < 0) {
            mRetries.removeFirst();
        }
    }
}
