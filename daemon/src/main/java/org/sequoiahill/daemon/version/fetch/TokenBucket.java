package org.sequoiahill.daemon.version.fetch;

import java.time.Duration;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/**
 * Limits transfers to a rate; a reservation may exceed the available tokens, and later ones then
 * wait longer.
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock mClock;
    private final Duration mBurst;
    private double mBytesPerSecond;
    private Duration mFreeAt;

    private TokenBucket(MonotonicClock clock, double bytesPerSecond, Duration burst) {
        mClock = clock;
        mBytesPerSecond = bytesPerSecond;
        mBurst = burst;
        mFreeAt = clock.now().minus(burst);
    }

    /**
     * Returns a bucket.
     *
     * @param bytesPerSecond rate, above zero
     * @param burst maximum unused time that is saved for later reservations
     */
    public static TokenBucket of(MonotonicClock clock, double bytesPerSecond, Duration burst) {
        return new TokenBucket(clock, bytesPerSecond, burst);
    }

    /** Changes the rate of later reservations. */
    public synchronized void setRate(double bytesPerSecond) {
        mBytesPerSecond = bytesPerSecond;
    }

    /** Returns the rate in bytes per second. */
    public synchronized double rate() {
        return mBytesPerSecond;
    }

    /**
     * Reserves bytes and returns how long the caller must wait: before it sends them or, if it has
     * received them already, before it receives more.
     */
    public synchronized Duration reserve(long bytes) {
        Duration now = mClock.now();
        Duration earliest = now.minus(mBurst);
        if (mFreeAt.compareTo(earliest) < 0) {
            mFreeAt = earliest;
        }
        mFreeAt = mFreeAt.plusNanos((long) (bytes * NANOS_PER_SECOND / mBytesPerSecond));
        return mFreeAt.compareTo(now) <= 0 ? Duration.ZERO : mFreeAt.minus(now);
    }
}
