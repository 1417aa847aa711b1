package org.sequoiahill.bench.processes;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/** Waits for conditions that other processes bring about. */
public final class Await {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private Await() {}

    /**
     * Returns once the condition holds; a condition that throws does not hold yet.
     *
     * @throws IllegalStateException where it does not hold within the bound
     */
    public static void until(String what, Duration bound, Callable<Boolean> condition) {
        long end = System.nanoTime() + bound.toNanos();
        while (!holds(condition)) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("gave up waiting for " + what);
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
