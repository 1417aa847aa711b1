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
    boolean take(Duration now, int entries) {
        forget(now);
        double allowed =
                USED_PART
                        * (mSettings.repeatRatio() * mRequests.size()
                                + mSettings.repeatSlack() / Math.max(1, entries));
        if (mRepeats.size() + 1 > allowed) {
            return false;
        }
        mRepeats.addLast(now);
        return true;
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
