package org.sequoiahill.daemon.process.time;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs tasks once a time has passed. */
@FunctionalInterface
public interface DelayedExecutor {
    /** Runs a task after a delay, on a thread of the runner. */
    void runAfter(Duration delay, Runnable task);

    /** Returns a runner that uses an executor's threads. */
    static DelayedExecutor of(ScheduledExecutorService executor) {
        return (delay, task) -> executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
