package org.sequoiahill.daemon.request.quarantine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/**
 * Fraction of an entry's recent attempts that were lost when endpoints died, as far as their traits
 * don't explain it. Thread-safe.
 */
final class LossRate {
    private static final Duration WINDOW = Duration.ofSeconds(30);

    /** Window in which the beginning of an outage shows. */
    private static final Duration SHORT_WINDOW = Duration.ofSeconds(2);

    private static final Duration INTERVAL = Duration.ofMillis(500);

    /** Attempts assumed in each window in addition to the observed ones, one of them lost. */
    private static final int PRIOR_ATTEMPTS = 25;

    private static final int MAX_LOST_PER_INTERVAL = 1_000;

    private final Deque<Interval> mIntervals = new ArrayDeque<>();

    private static final class Interval {
        private final Duration mStart;
        private final List<List<String>> mLost = new ArrayList<>();
        private int mAnswered;

        Interval(Duration start) {
            mStart = start;
        }
    }

    /** Records an attempt that was answered. */
    synchronized void addAnswered(Duration now) {
        current(now).mAnswered++;
    }

    /** Records an attempt that was lost. */
    synchronized void addLost(Duration now, List<String> traits) {
        Interval current = current(now);
        if (current.mLost.size() < MAX_LOST_PER_INTERVAL) {
            current.mLost.add(traits);
        }
    }

    /**
     * Returns the fraction of attempts that were lost, in the whole window or in the short one,
     * whichever is greater.
     *
     * @param isExplained whether the traits of a lost attempt explain its loss
     */
    synchronized double get(Duration now, Predicate<List<String>> isExplained) {
        return Math.max(rate(now, WINDOW, isExplained), rate(now, SHORT_WINDOW, isExplained));
    }

    private double rate(Duration now, Duration window, Predicate<List<String>> isExplained) {
        long lost = 1;
        long attempts = PRIOR_ATTEMPTS;
        for (Interval interval : mIntervals) {
            if (now.minus(interval.mStart).compareTo(window) <= 0) {
                long unexplained = interval.mLost.stream().filter(isExplained.negate()).count();
                lost += unexplained;
                attempts += unexplained + interval.mAnswered;
            }
        }
        return (double) lost / attempts;
    }

    private Interval current(Duration now) {
        while (!mIntervals.isEmpty()
                && now.minus(mIntervals.peekFirst().mStart).compareTo(WINDOW) > 0) {
            mIntervals.removeFirst();
        }
        Interval last = mIntervals.peekLast();
        if (last == null || now.minus(last.mStart).compareTo(INTERVAL) >= 0) {
            last = new Interval(now);
            mIntervals.addLast(last);
        }
        return last;
    }
}
