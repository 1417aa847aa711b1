package org.sequoiahill.daemon.request.admission;

import java.time.Duration;

/**
 * Requests per second that a queue dispatches, averaged over about the last 5 seconds, or since the
 * first use if that is later. Not thread-safe.
 */
final class DispatchRate {
    private static final int SLOTS = 10;
    private static final Duration SLOT = Duration.ofMillis(500);
    private static final double NANOS_PER_SECOND = 1e9;

    private final int[] mCounts = new int[SLOTS];
    private long mSlot = -1;
    private Duration mFirstUsedAt = Duration.ZERO;

    /** Records the dispatch of one request. */
    void add(Duration now) {
        advance(now);
        mCounts[index(mSlot)]++;
    }

    /** Returns requests per second, 0 if none was dispatched in the averaged time. */
    double perSecond(Duration now) {
        advance(now);
        int sum = 0;
        for (int count : mCounts) {
            sum += count;
        }
        Duration windowStart = SLOT.multipliedBy(Math.max(0, mSlot - SLOTS + 1));
        Duration start = mFirstUsedAt.compareTo(windowStart) > 0 ? mFirstUsedAt : windowStart;
        long nanos = Math.max(SLOT.toNanos(), now.minus(start).toNanos());
        return sum / (nanos / NANOS_PER_SECOND);
    }

    private void advance(Duration now) {
        long slot = now.toNanos() / SLOT.toNanos();
        if (mSlot < 0) {
            mFirstUsedAt = now;
            mSlot = slot;
        }
        long steps = Math.min(SLOTS, slot - mSlot);
        for (long i = 1; i <= steps; i++) {
            mCounts[index(slot - i + 1)] = 0;
        }
        mSlot = Math.max(mSlot, slot);
    }

    private static int index(long slot) {
        return (int) (slot % SLOTS);
    }
}
