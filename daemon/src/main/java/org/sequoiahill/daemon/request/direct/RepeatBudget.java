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
final class RepeatBudget {
    /** Part of the ratio that a request pays. */
    private static final double RATIO_PART = 0.5;

    /** Part of the slack that is used; the rest is for entries that briefly disagree. */
    private static final double SLACK_PART = 0.8;

    /** Longest time from the decision on a repeat until it arrives. */
    private static final Duration ARRIVAL = Duration.ofSeconds(1);

    /** Price of a repeat; whole numbers keep sums of parts exact. */
    private static final long REPEAT = 1_000_000;

    private final DirectSettings mSettings;
    private final Duration mPaysFor;
    private final long mRequestPays;
    private final Deque<Duration> mRequests = new ArrayDeque<>();
    private final Deque<Spent> mSlackSpent = new ArrayDeque<>();
    private final Deque<Duration> mRepeats = new ArrayDeque<>();
    private long mOldestPaid;
    private long mSlackSum;

    private RepeatBudget(DirectSettings settings) {
        mSettings = settings;
        Duration window = settings.repeatWindow();
        Duration half = window.dividedBy(2);
        Duration shortened = window.minus(ARRIVAL);
        mPaysFor = shortened.compareTo(half) > 0 ? shortened : half;
        mRequestPays = (long) (RATIO_PART * settings.repeatRatio() * REPEAT);
    }

    static RepeatBudget of(DirectSettings settings) {
        return new RepeatBudget(settings);
    }

    /** Returns the time for which a spent part of the slack counts. */
    static Duration slackWindow(DirectSettings settings) {
        return settings.repeatWindow().plus(ARRIVAL);
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
    record Usage(Duration now, int requests, int repeats, int entries) {}

    private record Spent(Duration at, long amount) {}

    /** Notes a request's first sending. */
    void noteFirst(Duration now) {
        forget(now);
        if (mRequestPays > 0) {
            mRequests.addLast(now);
        }
    }

    /**
     * Takes one repeat where the budget has room.
     *
     * @param entries entries by which the slack is divided, 0 where this one has no part
     */
    Verdict take(Duration now, int entries) {
        forget(now);
        long byRequests = Math.min(REPEAT, mRequests.size() * mRequestPays - mOldestPaid);
        long bySlack = REPEAT - byRequests;
        if (bySlack > 0 && mSlackSum + bySlack > slackPart(entries)) {
            return Verdict.DENIED;
        }
        payByRequests(byRequests);
        mRepeats.addLast(now);
        if (bySlack == 0) {
            return Verdict.RATIO;
        }
        mSlackSpent.addLast(new Spent(now, bySlack));
        mSlackSum += bySlack;
        return Verdict.SLACK;
    }

    /** Returns what the budget decides by. */
    Usage usage(Duration now, int entries) {
        forget(now);
        return new Usage(now, mRequests.size(), mRepeats.size(), entries);
    }

    private long slackPart(int entries) {
        return entries == 0 ? 0 : (long) (SLACK_PART * mSettings.repeatSlack() * REPEAT / entries);
    }

    private void payByRequests(long amount) {
        long paid = mOldestPaid + amount;
        while (paid > 0 && paid >= mRequestPays) {
            mRequests.removeFirst();
            paid -= mRequestPays;
        }
        mOldestPaid = paid;
    }

    private void forget(Duration now) {
        Duration oldestPaying = now.minus(mPaysFor);
        while (!mRequests.isEmpty() && mRequests.peekFirst().compareTo(oldestPaying) < 0) {
            mRequests.removeFirst();
            mOldestPaid = 0;
        }
        Duration oldest = now.minus(slackWindow(mSettings));
        while (!mSlackSpent.isEmpty() && mSlackSpent.peekFirst().at().compareTo(oldest) < 0) {
            mSlackSum -= mSlackSpent.removeFirst().amount();
        }
        while (!mRepeats.isEmpty() && mRepeats.peekFirst().compareTo(oldest) < 0) {
            mRepeats.removeFirst();
        }
    }
}
