package org.sequoiahill.bench.processes;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/** Waits by polling for conditions that depend on other processes. */
public final class Await {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private Await() {}

    /**
     * Returns once the condition holds; a condition that throws counts as not yet met.
     *
     * @throws IllegalStateException if the condition does not hold within {@code timeout}
     */
    public static void until(String description, Duration timeout, Callable<Boolean> condition) {
        long end = System.nanoTime() + timeout.toNanos();
        while (!holds(condition)) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("timed out waiting for " + description);
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }

    private static boolean holds(Callable<Boolean> condition) {
        try {
            return condition.call();
        } catch (Exception e) {
            return false;
        }
    }
}
