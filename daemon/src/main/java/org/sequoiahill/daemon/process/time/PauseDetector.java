package org.sequoiahill.daemon.process.time;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.tinylog.Logger;

/**
 * Detects that this process did not run for a while: its VM was suspended or frozen, or it got no
 * processor time.
 *
 * <p>What is read after a pause may have been sent long before it, by a sender that no longer
 * waits.
 */
public final class PauseDetector {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

    /** Shorter than the second for which operators wait for a response. */
    private static final Duration MIN_PAUSE = Duration.ofMillis(600);

    private final MonotonicClock mClock;
    private final InstantSource mWallClock;
    private SuspendAwareStopwatch mSinceTick;
    private Optional<SuspendAwareStopwatch> mSincePause = Optional.empty();

    private PauseDetector(MonotonicClock clock, InstantSource wallClock) {
        mClock = clock;
        mWallClock = wallClock;
        mSinceTick = SuspendAwareStopwatch.start(clock, wallClock);
    }

    /** Returns a detector; {@link #start} starts its periodic check. */
    public static PauseDetector of(MonotonicClock clock, InstantSource wallClock) {
        return new PauseDetector(clock, wallClock);
    }

    /** Starts the periodic check. */
    public void start(ScheduledExecutorService scheduler) {
        PeriodicTasks.schedule(scheduler, TICK_INTERVAL, "pause detection", this::tick);
    }

    /** Returns whether a pause has ended within the given time. */
    public synchronized boolean wasPausedWithin(Duration time) {
        tick();
        return mSincePause
                .filter(sincePause -> sincePause.elapsed().compareTo(time) <= 0)
                .isPresent();
    }

    private synchronized void tick() {
        Duration gap = mSinceTick.elapsed();
        mSinceTick = SuspendAwareStopwatch.start(mClock, mWallClock);
        if (gap.compareTo(MIN_PAUSE) >= 0) {
            Logger.info("the process was paused for about {} ms", gap.toMillis());
            mSincePause = Optional.of(mSinceTick);
        }
    }
}
