package org.sequoiahill.daemon.request.direct;

import java.time.Duration;

/**
 * Spaces the requests that one entry sends to a cold endpoint.
 *
 * <p>All entries together must stay below what a cold endpoint bears in any second, and they don't
 * talk about single requests; so each sends at an equal part of the rate, one request at a time.
 * Not safe for several threads.
 */
final class ColdPace {
    private static final double NANOS_PER_SECOND = 1e9;

    private Duration mNextAt = Duration.ZERO;

    /** Returns whether a request may be sent now. */
    boolean isOpen(Duration now) {
        return now.compareTo(mNextAt) >= 0;
    }

    /** Returns when the next request may be sent. */
    Duration nextAt() {
        return mNextAt;
    }

    /**
     * Notes a request.
     *
     * @param rate requests a second that the endpoint bears from all entries
     */
    void sent(Duration now, double rate, int entries) {
        mNextAt = now.plusNanos((long) (NANOS_PER_SECOND * Math.max(1, entries) / rate));
    }
}
