package org.sequoiahill.daemon.process.time;

import java.time.Duration;

/** A clock that a test moves. */
public final class ManualClock implements MonotonicClock {
    private volatile Duration mNow = Duration.ofSeconds(1_000);

    @Override
    public Duration now() {
        return mNow;
    }

    /** Lets time pass. */
    public void advance(Duration time) {
        mNow = mNow.plus(time);
    }

    /** Lets milliseconds pass. */
    public void advanceMillis(long millis) {
        advance(Duration.ofMillis(millis));
    }
}
