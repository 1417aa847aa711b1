package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Timestamps of recent events. Not thread-safe. */
final class RecentTimestamps {
    /** Age above which timestamps are evicted; load reports usually arrive at a younger age. */
    private static final Duration RETENTION = Duration.ofSeconds(1);

    private final Deque<Duration> mTimes = new ArrayDeque<>();

    void add(Duration now) {
        Duration oldest = now.minus(RETENTION);
        while (!mTimes.isEmpty() && mTimes.peekFirst().compareTo(oldest) < 0) {
            mTimes.removeFirst();
        }
        mTimes.addLast(now);
    }

    /** Returns the number of retained timestamps later than a time. */
    int countAfter(Duration time) {
        int count = 0;
        for (var i = mTimes.descendingIterator(); i.hasNext(); ) {
            if (i.next().compareTo(time) <= 0) {
                break;
            }
            count++;
        }
        return count;
    }
}
