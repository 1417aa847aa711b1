package org.sequoiahill.daemon.process.time;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Schedules periodic tasks; a task that throws a {@code RuntimeException} is logged and runs again.
 */
public final class PeriodicTasks {
    private PeriodicTasks() {}

    /**
     * Runs a task now, and again each time the interval has passed since the end of its last run.
     *
     * @return future to cancel if the task must stop before the scheduler does
     */
    public static ScheduledFuture<?> schedule(
            ScheduledExecutorService scheduler, Duration interval, String name, Runnable task) {
        Runnable guarded =
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        Logger.error(e, "periodic task {} failed", name);
                    }
                };
        return scheduler.scheduleWithFixedDelay(
                guarded, 0, interval.toNanos(), TimeUnit.NANOSECONDS);
    }
}
