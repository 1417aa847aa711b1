package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This entry's part of the repeats that a service may be sent, in any window of a length.
 *
 * <p>The bound holds for all entries together, whichever of their processes end meanwhile. So each
 * repeat is paid for, by requests that came to the same process shortly before, and by this entry's
 * part of the slack. A request pays once, and for half of the ratio: what arrives in a window was
 * paid for by requests of that window and the one before it, and halves of both are never more than
 * the greater of them. Not safe for several threads.
 */
final class SharedRetryBudget {
    /** Part of the ratio that a request pays. */
    private static final double CREDIT_RATIO = 0.5;

    /** Part of the slack that is used; the rest is for entries that briefly disagree. */
    private static final double SLACK_USE_RATIO = 0.8;

    /** Longest time from the decision on a repeat until it arrives. */
    private static final Duration MAX_ARRIVAL_DELAY = Duration.ofSeconds(1);

    /** Price of a repeat; whole numbers keep sums of parts exact. */
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

    /** Returns the time for which a spent part of the slack counts. */
    static Duration slackWindow(DirectSettings settings) {
        return settings.retryWindow().plus(MAX_ARRIVAL_DELAY);
    }

    /** What a budget decided on a repeat. */
    enum Verdict {
        /** Allowed, and paid by requests. */
        RATIO,
        /** Allowed, and paid at least partly by the slack. */
        SLACK,
        /** Not allowed. */
        DENIED
    }

    /**
     * What a budget decides by.
     *
     * @param now monotonic time of the decision
     * @param requests requests that may still pay
     * @param repeats repeats in the window
     * @param entries entries by which the slack is divided, 0 where this one has no part
     */
    record Usage(Duration now, int requests, int retries, int entries) {}

    private record SlackUse(Duration at, long amount) {}

    /** Notes a request's first sending. */
    void onFirstAttempt(Duration now) {
        evictExpired(now);
        if (mCreditPerRequest > 0) {
            mCreditedRequests.addLast(now);
        }
    }

    /**
     * Takes one repeat where the budget has room.
     *
     * @param entries entries by which the slack is divided, 0 where this one has no part
     */
    Verdict tryAcquire(Duration now, int entries) {
        evictExpired(now);
        long byRequests =
                Math.min(
                        RETRY_COST,
                        mCreditedRequests.size() * mCreditPerRequest - mOldestUsedCredit);
        long bySlack = RETRY_COST - byRequests;
        if (bySlack > 0 && mSlackUsed + bySlack > slackShare(entries)) {
            return Verdict.DENIED;
        }
        spendCredit(byRequests);
        mRetries.addLast(now);
        if (bySlack == 0) {
            return Verdict.RATIO;
        }
        mSlackUses.addLast(new SlackUse(now, bySlack));
        mSlackUsed += bySlack;
        return Verdict.SLACK;
    }

    /** Returns what the budget decides by. */
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
        long paid = mOldestUsedCredit + amount;
        while (paid > 0 && paid >= mCreditPerRequest) {
            mCreditedRequests.removeFirst();
            paid -= mCreditPerRequest;
        }
        mOldestUsedCredit = paid;
    }

    private void evictExpired(Duration now) {
        Duration oldestPaying = now.minus(mCreditLifetime);
        while (!mCreditedRequests.isEmpty()
                && mCreditedRequests.peekFirst().compareTo(oldestPaying) < 0) {
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
