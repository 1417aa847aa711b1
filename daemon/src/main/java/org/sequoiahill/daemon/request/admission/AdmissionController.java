package org.sequoiahill.daemon.request.admission;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.tinylog.Logger;

/** Gives requests their turn, a queue a service; no thread waits. */
public final class AdmissionController {
    private static final Duration DISPATCH_INTERVAL = Duration.ofMillis(20);
    private static final int MAX_REQUESTS_PER_SERVICE = 4_096;
    private static final long MAX_BYTES_PER_ORGANISATION = 8L << 20;

    private final MonotonicClock mClock;
    private final PlacementResult.Placer mPlacer;
    private final Map<String, ServiceQueue> mQueues = new ConcurrentHashMap<>();

    private final ScheduledExecutorService mScheduler;
    private final AtomicBoolean mIsDispatchScheduled = new AtomicBoolean();

    private AdmissionController(
            MonotonicClock clock,
            PlacementResult.Placer placer,
            ScheduledExecutorService scheduler) {
        mClock = clock;
        mPlacer = placer;
        mScheduler = scheduler;
    }

    /**
     * Returns an admission without requests.
     *
     * @param placer finds a place that has room for a request now
     * @param scheduler runs the looks for room
     */
    public static AdmissionController of(
            MonotonicClock clock,
            PlacementResult.Placer placer,
            ScheduledExecutorService scheduler) {
        return new AdmissionController(clock, placer, scheduler);
    }

    /** Grants a request its turn, now or later, or refuses it. */
    public void submit(QueuedRequest ticket) {
        queueOf(ticket.request().service().service()).submit(ticket);
        scheduleWhileAnyWaits();
    }

    /** Takes back a request that was not taken where it was sent. */
    public void requeue(QueuedRequest ticket) {
        queueOf(ticket.request().service().service()).requeue(ticket);
        scheduleWhileAnyWaits();
    }

    /** Notes that a request of a service has ended and gives its place to the next. */
    public void completed(String service, Duration time) {
        ServiceQueue queue = queueOf(service);
        queue.recordServiceTime(time);
        queue.dispatch();
    }

    /** Returns the requests that wait. */
    public int size() {
        return mQueues.values().stream().mapToInt(ServiceQueue::size).sum();
    }

    /** Looks for room and for missed deadlines every interval; an entry without queues sleeps. */
    private void scheduleWhileAnyWaits() {
        if (size() > 0 && mIsDispatchScheduled.compareAndSet(false, true)) {
            mScheduler.schedule(this::dispatch, DISPATCH_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void dispatch() {
        // Cleared first: a request that comes from here on schedules the next look itself.
        mIsDispatchScheduled.set(false);
        try {
            mQueues.values().forEach(ServiceQueue::dispatch);
        } catch (RuntimeException e) {
            Logger.error(e, "a look for room failed");
        }
        scheduleWhileAnyWaits();
    }

    private ServiceQueue queueOf(String service) {
        return mQueues.computeIfAbsent(
                service,
                name ->
                        new ServiceQueue(
                                mClock,
                                mPlacer,
                                MAX_REQUESTS_PER_SERVICE,
                                MAX_BYTES_PER_ORGANISATION));
    }
}
