package org.sequoiahill.daemon.request.admission;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.tinylog.Logger;

/** Admits requests through one queue per service, without blocking a thread. */
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
     * Returns a controller without requests.
     *
     * @param placer finds an endpoint with capacity for a request
     * @param scheduler runs the periodic dispatch
     */
    public static AdmissionController of(
            MonotonicClock clock,
            PlacementResult.Placer placer,
            ScheduledExecutorService scheduler) {
        return new AdmissionController(clock, placer, scheduler);
    }

    /** Grants a request, now or later, or refuses it. */
    public void submit(QueuedRequest request) {
        queueOf(request.request().service().service()).submit(request);
        scheduleDispatchIfQueued();
    }

    /** Queues a request again after an attempt without a response. */
    public void requeue(QueuedRequest request) {
        queueOf(request.request().service().service()).requeue(request);
        scheduleDispatchIfQueued();
    }

    /**
     * Records that the response to a request has ended, and dispatches the next requests.
     *
     * @param serviceTime time from sending the request to the end of its response
     */
    public void completed(String service, Duration serviceTime) {
        ServiceQueue queue = queueOf(service);
        queue.recordServiceTime(serviceTime);
        queue.dispatch();
    }

    /** Returns the number of queued requests. */
    public int size() {
        return mQueues.values().stream().mapToInt(ServiceQueue::size).sum();
    }

    /**
     * Schedules the next dispatch, which checks for capacity and expired deadlines, unless no
     * request is queued or a dispatch is already scheduled.
     */
    private void scheduleDispatchIfQueued() {
        if (size() > 0 && mIsDispatchScheduled.compareAndSet(false, true)) {
            mScheduler.schedule(this::dispatch, DISPATCH_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void dispatch() {
        // Cleared first: a request that arrives from here on schedules the next dispatch itself.
        mIsDispatchScheduled.set(false);
        try {
            mQueues.values().forEach(ServiceQueue::dispatch);
        } catch (RuntimeException e) {
            Logger.error(e, "can't dispatch the queued requests");
        }
        scheduleDispatchIfQueued();
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
