package org.sequoiahill.daemon.request.admission;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.process.time.Periodic;

/** Gives requests their turn, a queue a service; no thread waits. */
public final class Admission {
    private static final Duration PUMP_INTERVAL = Duration.ofMillis(20);
    private static final int MAX_REQUESTS_PER_SERVICE = 4_096;
    private static final long MAX_BYTES_PER_ORGANISATION = 8L << 20;

    private final MonotonicClock mClock;
    private final Placement.Placer mPlacer;
    private final Map<String, ServiceQueue> mQueues = new ConcurrentHashMap<>();

    private Admission(MonotonicClock clock, Placement.Placer placer) {
        mClock = clock;
        mPlacer = placer;
    }

    /**
     * Returns an admission without requests.
     *
     * @param placer finds a place that has room for a request now
     */
    public static Admission of(MonotonicClock clock, Placement.Placer placer) {
        return new Admission(clock, placer);
    }

    /** Starts to look for room and for missed deadlines every interval. */
    public void start(ScheduledExecutorService scheduler) {
        Periodic.every(
                scheduler,
                PUMP_INTERVAL,
                "admission",
                () -> mQueues.values().forEach(ServiceQueue::pump));
    }

    /** Grants a request its turn, now or later, or refuses it. */
    public void submit(Ticket ticket) {
        queueOf(ticket.request().service().service()).submit(ticket);
    }

    /** Takes back a request that was not taken where it was sent. */
    public void putBack(Ticket ticket) {
        queueOf(ticket.request().service().service()).putBack(ticket);
    }

    /** Notes that a request of a service has ended and gives its place to the next. */
    public void ended(String service, Duration time) {
        ServiceQueue queue = queueOf(service);
        queue.noteServiceTime(time);
        queue.pump();
    }

    /** Returns the requests that wait. */
    public int size() {
        return mQueues.values().stream().mapToInt(ServiceQueue::size).sum();
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
