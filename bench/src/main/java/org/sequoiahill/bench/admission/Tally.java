package org.sequoiahill.bench.admission;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** Counts the outcomes of requests and sums their worth. */
final class Tally {
    /** Length of the windows into which a printed day is divided, in seconds. */
    static final int WINDOW_SECONDS = 2;

    private int mOnTime;
    private int mLate;
    private int mNotServed;
    private double mEarned;
    private double mAvailable;

    /** Returns an empty tally for each window of a day. */
    static List<Tally> windows(Duration length) {
        long count = (length.toSeconds() + WINDOW_SECONDS) / WINDOW_SECONDS;
        return Stream.generate(Tally::new).limit(count).toList();
    }

    /** Returns the index of the window in which a request arrived. */
    static int windowOf(RequestOutcome outcome) {
        return (int) (outcome.request().arrivedAt().toSeconds() / WINDOW_SECONDS);
    }

    void add(RequestOutcome outcome) {
        mEarned += outcome.earnedWorth();
        mAvailable += outcome.request().worth();
        if (outcome.isOnTime()) {
            mOnTime++;
        } else if (outcome.isServedLate()) {
            mLate++;
        } else {
            mNotServed++;
        }
    }

    /** Returns the earned fraction of the worth of all requests; 1 without requests. */
    double earnedShare() {
        return mAvailable == 0 ? 1 : mEarned / mAvailable;
    }

    /** Returns the fraction of requests that were served on time; 1 without requests. */
    double onTimeShare() {
        int total = mOnTime + mLate + mNotServed;
        return total == 0 ? 1 : mOnTime / (double) total;
    }

    String describe() {
        return String.format(
                Locale.ROOT,
                "%.3f of the worth; %d on time, %d late, %d not served",
                earnedShare(),
                mOnTime,
                mLate,
                mNotServed);
    }
}
