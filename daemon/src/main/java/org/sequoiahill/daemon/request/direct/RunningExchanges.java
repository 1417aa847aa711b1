package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The requests that run at an entry, looked at together now and then for what is overdue.
 *
 * <p>One look at all costs far less processor time than a timer for each request, and an entry
 * without requests does not wake up.
 */
public final class RunningExchanges {
    /** Interval between looks; bounds how late a timeout is noticed. */
    private static final Duration INTERVAL = Duration.ofMillis(100);

    private final Set<DirectExchange> mRunning = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService mScheduler;
    private final AtomicBoolean mIsDue = new AtomicBoolean();

    private RunningExchanges(ScheduledExecutorService scheduler) {
        mScheduler = scheduler;
    }

    /** Returns an empty set whose looks run on a scheduler. */
    public static RunningExchanges on(ScheduledExecutorService scheduler) {
        return new RunningExchanges(scheduler);
    }

    /** Returns how many requests run. */
    public int size() {
        return mRunning.size();
    }

    void begin(DirectExchange exchange) {
        mRunning.add(exchange);
        schedule();
    }

    void end(DirectExchange exchange) {
        mRunning.remove(exchange);
    }

    private void schedule() {
        if (mIsDue.compareAndSet(false, true)) {
            mScheduler.schedule(this::look, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void look() {
        mIsDue.set(false);
        mRunning.forEach(DirectExchange::check);
        if (!mRunning.isEmpty()) {
            schedule();
        }
    }
}
