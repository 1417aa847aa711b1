package org.sequoiahill.daemon.process.time;

import java.time.Duration;

/** Time since an arbitrary origin that never goes back and is not set by anyone. */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the time since the origin. */
    Duration now();

    /** Returns the clock of this Java process. */
    static MonotonicClock system() {
        return () -> Duration.ofNanos(System.nanoTime());
    }
}
