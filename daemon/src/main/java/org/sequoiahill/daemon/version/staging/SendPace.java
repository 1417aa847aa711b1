package org.sequoiahill.daemon.version.staging;

import java.time.Duration;
import java.util.Optional;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/**
 * Spaces the pieces that an agent sends, so that the answers of the engine on the same link wait
 * for one piece at most.
 */
final class SendPace {
    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock mClock;
    private final double mBytesPerSecond;
    private Duration mNextAt = Duration.ZERO;

    /**
     * Makes a pace.
     *
     * @param bytesPerSecond rate that pieces may take of the link
     */
    SendPace(MonotonicClock clock, double bytesPerSecond) {
        mClock = clock;
        mBytesPerSecond = bytesPerSecond;
    }

    /**
     * Takes the next turn for a number of bytes; returns how long to wait for it, or nothing, and
     * takes no turn, where that is too long.
     */
    synchronized Optional<Duration> take(int bytes, Duration maxWait) {
        Duration now = mClock.now();
        Duration start = mNextAt.compareTo(now) > 0 ? mNextAt : now;
        if (start.minus(now).compareTo(maxWait) > 0) {
            return Optional.empty();
        }
        mNextAt = start.plusNanos((long) (NANOS_PER_SECOND * bytes / mBytesPerSecond));
        return Optional.of(start.minus(now));
    }
}
