package org.sequoiahill.bench.admission;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** Counts what became of requests. */
final class Tally {
    /** Length of the windows by which a day is printed, in seconds. */
    static final int WINDOW_SECONDS = 2;

    private int mOnTime;
    private int mLate;
    private int mRefused;
    private double mEarned;
    private double mAvailable;

    /** Returns an empty tally for each window of a day. */
    static List<Tally> windows(Duration length) {
        long count = (length.toSeconds() + WINDOW_SECONDS) / WINDOW_SECONDS;
        return Stream.generate(Tally::new).limit(count).toList();
    }

    /** Returns the window in which a request came. */
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
            mRefused++;
        }
    }

    /** Returns the part of the worth that was earned. */
    double earnedShare() {
        return mAvailable == 0 ? 1 : mEarned / mAvailable;
    }

    /** Returns the part of the requests that were answered on time. */
    double onTimeShare() {
        int all = mOnTime + mLate + mRefused;
        return all == 0 ? 1 : mOnTime / (double) all;
    }

    String describe() {
        return String.format(
                Locale.ROOT,
                "%.3f of the worth; %d on time, %d late, %d not served",
                earnedShare(),
                mOnTime,
                mLate,
                mRefused);
    }
}
