package org.sequoiahill.daemon.process.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Measures elapsed time, including time for which the VM was suspended.
 *
 * <p>The monotonic clock stops while a VM is suspended, so the wall clock is read as well and the
 * longer of the two times counts. A wall clock that is set forward makes the result too long; one
 * that is set back during a suspension hides as much of it.
 */
public final class SuspendAwareStopwatch {
    private final MonotonicClock mClock;
    private final InstantSource mWallClock;
    private final Duration mStart;
    private final Instant mWallStart;

    private SuspendAwareStopwatch(MonotonicClock clock, InstantSource wallClock) {
        mClock = clock;
        mWallClock = wallClock;
        mStart = clock.now();
        mWallStart = wallClock.instant();
    }

    /** Returns a stopwatch that starts now. */
    public static SuspendAwareStopwatch start(MonotonicClock clock, InstantSource wallClock) {
        return new SuspendAwareStopwatch(clock, wallClock);
    }

    /** Returns the time since the start. */
    public Duration elapsed() {
        Duration monotonic = mClock.now().minus(mStart);
        Duration wall = Duration.between(mWallStart, mWallClock.instant());
        return wall.compareTo(monotonic) > 0 ? wall : monotonic;
    }
}
