package org.sequoiahill.daemon.process.time;

import java.time.Duration;

/** A clock of the time since an arbitrary origin, which never goes back and can't be set. */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the time since the origin. */
    Duration now();

    /** Returns the monotonic clock of this Java process. */
    static MonotonicClock system() {
        return () -> Duration.ofNanos(System.nanoTime());
    }
}
