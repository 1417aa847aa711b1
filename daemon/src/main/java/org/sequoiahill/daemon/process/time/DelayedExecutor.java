package org.sequoiahill.daemon.process.time;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs tasks after a delay. */
@FunctionalInterface
public interface DelayedExecutor {
    /** Runs a task after a delay, on a thread of the executor. */
    void runAfter(Duration delay, Runnable task);

    /** Returns one that uses the threads of a scheduled executor. */
    static DelayedExecutor of(ScheduledExecutorService executor) {
        return (delay, task) -> executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
