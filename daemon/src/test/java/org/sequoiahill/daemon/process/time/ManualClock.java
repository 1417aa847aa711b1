package org.sequoiahill.daemon.process.time;

import java.time.Duration;

/** A clock that a test advances. */
public final class ManualClock implements MonotonicClock {
    private volatile Duration mNow = Duration.ofSeconds(1_000);

    @Override
    public Duration now() {
        return mNow;
    }

    /** Advances the clock. */
    public void advance(Duration time) {
        mNow = mNow.plus(time);
    }

    /** Advances the clock by milliseconds. */
    public void advanceMillis(long millis) {
        advance(Duration.ofMillis(millis));
    }
}
