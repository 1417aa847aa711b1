package org.sequoiahill.daemon.process.time;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Runs tasks again and again; a task that throws is logged and runs again. */
public final class PeriodicTasks {
    private PeriodicTasks() {}

    /**
     * Runs a task now and then after each interval.
     *
     * @return the schedule, to be cancelled by who ends earlier than the scheduler
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
