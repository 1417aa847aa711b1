package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This entry's part of the repeats that a service may be sent, in any window of a length.
 *
 * <p>The bound holds for all entries together, so each takes the ratio of its own requests and an
 * equal part of the slack. Under a crash of endpoints the slack carries the repeats; under a storm
 * of failures the budget ends them before they double the load. Not safe for several threads.
 */
final class RepeatBudget {
    /** Part of the bound that is used, so that windows cut differently elsewhere hold too. */
    private static final double USED_PART = 0.8;

    private final DirectSettings mSettings;
    private final Deque<Duration> mRequests = new ArrayDeque<>();
    private final Deque<Duration> mRepeats = new ArrayDeque<>();

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
     * @param requests requests in the window
     * @param repeats repeats in the window
     * @param entries entries by which the slack is divided
     */
    record Usage(Duration now, int requests, int repeats, int entries) {}

    private RepeatBudget(DirectSettings settings) {
        mSettings = settings;
    }

    static RepeatBudget of(DirectSettings settings) {
        return new RepeatBudget(settings);
    }

    /** Notes a request's first sending. */
    void noteFirst(Duration now) {
        forget(now);
        mRequests.addLast(now);
    }

    /** Takes one repeat where the budget has room, among a number of entries. */
    Verdict take(Duration now, int entries) {
        forget(now);
        double byRatio = USED_PART * mSettings.repeatRatio() * mRequests.size();
        double allowed = byRatio + USED_PART * mSettings.repeatSlack() / Math.max(1, entries);
        if (mRepeats.size() + 1 > allowed) {
            return Verdict.DENIED;
        }
        mRepeats.addLast(now);
        return mRepeats.size() <= byRatio ? Verdict.RATIO : Verdict.SLACK;
    }

    /** Returns what the budget decides by. */
    Usage usage(Duration now, int entries) {
        forget(now);
        return new Usage(now, mRequests.size(), mRepeats.size(), entries);
    }

    private void forget(Duration now) {
        Duration oldest = now.minus(mSettings.repeatWindow());
        while (!mRequests.isEmpty() && mRequests.peekFirst().compareTo(oldest) < 0) {
            mRequests.removeFirst();
        }
        while (!mRepeats.isEmpty() && mRepeats.peekFirst().compareTo(oldest) < 0) {
            mRepeats.removeFirst();
        }
    }
}
