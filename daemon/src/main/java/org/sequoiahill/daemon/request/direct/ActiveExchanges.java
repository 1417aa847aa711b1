package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;

/**
 * The exchanges in progress at an entry, checked together at an interval for timeouts.
 *
 * <p>One check of all exchanges costs far less processor time than a timer per request, and no
 * check is scheduled while there is no exchange.
 */
public final class ActiveExchanges {
    /** Interval between checks; bounds the delay after which a timeout is detected. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    private final Set<DirectExchange> mExchanges = ConcurrentHashMap.newKeySet();
    private final Set<Upload> mUploads = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService mScheduler;
    private final AtomicBoolean mIsCheckScheduled = new AtomicBoolean();
    private volatile boolean mIsEnding;

    private ActiveExchanges(ScheduledExecutorService scheduler) {
        mScheduler = scheduler;
    }

    /** A request whose body has not been read completely. */
    interface Upload {
        /** Ends the request if it is overdue, or if no request may go on. */
        void checkTimeouts();
    }

    /** Returns an empty set whose checks run on a scheduler. */
    public static ActiveExchanges on(ScheduledExecutorService scheduler) {
        return new ActiveExchanges(scheduler);
    }

    /** Returns the number of exchanges in progress, without uploads. */
    public int size() {
        return mExchanges.size();
    }

    /** Returns whether the process is about to end, so that no exchange may go on. */
    boolean isEnding() {
        return mIsEnding;
    }

    /** Ends all exchanges with a final response, as the process is about to end. */
    public void endAll() {
        mIsEnding = true;
        checkTimeouts();
    }

    void add(DirectExchange exchange) {
        mExchanges.add(exchange);
        scheduleCheck();
    }

    void remove(DirectExchange exchange) {
        mExchanges.remove(exchange);
    }

    void add(Upload upload) {
        if (mUploads.add(upload)) {
            scheduleCheck();
        }
    }

    void remove(Upload upload) {
        mUploads.remove(upload);
    }

    private void checkTimeouts() {
        mExchanges.forEach(exchange -> check(exchange::checkTimeouts));
        mUploads.forEach(upload -> check(upload::checkTimeouts));
    }

    /** Runs the check of one request; a failure must not keep the others from being checked. */
    private static void check(Runnable check) {
        try {
            check.run();
        } catch (RuntimeException e) {
            Logger.error(e, "the check of a request for timeouts failed");
        }
    }

    private void scheduleCheck() {
        if (mIsCheckScheduled.compareAndSet(false, true)) {
            mScheduler.schedule(this::checkAll, CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void checkAll() {
        mIsCheckScheduled.set(false);
        checkTimeouts();
        if (!mExchanges.isEmpty() || !mUploads.isEmpty()) {
            scheduleCheck();
        }
    }
}
