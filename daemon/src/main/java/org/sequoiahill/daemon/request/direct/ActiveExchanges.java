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
public final class ActiveExchanges {
    /** Interval between looks; bounds how late a timeout is noticed. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    private final Set<DirectExchange> mExchanges = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService mScheduler;
    private final AtomicBoolean mIsCheckScheduled = new AtomicBoolean();

    private ActiveExchanges(ScheduledExecutorService scheduler) {
        mScheduler = scheduler;
    }

    /** Returns an empty set whose looks run on a scheduler. */
    public static ActiveExchanges on(ScheduledExecutorService scheduler) {
        return new ActiveExchanges(scheduler);
    }

    /** Returns how many requests run. */
    public int size() {
        return mExchanges.size();
    }

    void add(DirectExchange exchange) {
        mExchanges.add(exchange);
        scheduleCheck();
    }

    void remove(DirectExchange exchange) {
        mExchanges.remove(exchange);
    }

    private void scheduleCheck() {
        if (mIsCheckScheduled.compareAndSet(false, true)) {
            mScheduler.schedule(this::checkAll, CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void checkAll() {
        mIsCheckScheduled.set(false);
        mExchanges.forEach(DirectExchange::checkTimeouts);
        if (!mExchanges.isEmpty()) {
            scheduleCheck();
        }
    }
}
