package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Optional;
import org.sequoiahill.daemon.process.fleet.Route;

/**
 * Times by which a request must be sent and its response must be complete.
 *
 * <p>Under overload, a queue whose requests wait until their deadline makes every response late. A
 * request therefore leaves the queue while there is still time to serve the next one well; a
 * request that is late anyway waits for capacity that no other request needs.
 *
 * @param arrivedAt when the request arrived
 * @param deadline when its response must be complete
 * @param isLate whether the latency target has presumably passed since the caller's first try, so
 *     that the response misses it in any case
 */
public record RequestDeadlines(Duration arrivedAt, Duration deadline, boolean isLate) {
    /**
     * Fraction of the latency target that may pass in the queue; the rest is for serving the
     * request.
     */
    private static final double QUEUE_TIME_RATIO = 0.4;

    /** Maximum queue time of a request that is late anyway. */
    private static final Duration LATE_QUEUE_TIME = Duration.ofMillis(800);

    /** Maximum queue time of a retry. */
    private static final Duration RETRY_QUEUE_TIME = Duration.ofMillis(400);

    /**
     * Returns the deadlines of a request.
     *
     * @param timeout time for which the caller waits; a caller that retries has less time left than
     *     at first. What is missing to the route's timeout counts as time since its first try.
     */
    public static RequestDeadlines of(Duration arrivedAt, Route route, Optional<Duration> timeout) {
        Duration routeTimeout = route.timeout();
        Duration left = timeout.orElse(routeTimeout);
        boolean isLate = left.compareTo(routeTimeout.minus(route.latencyTarget())) < 0;
        return new RequestDeadlines(arrivedAt, arrivedAt.plus(earlier(left, routeTimeout)), isLate);
    }

    /** Returns when a request that has not been sent leaves the queue. */
    public Duration queueDeadline(Duration latencyTarget) {
        Duration maxQueueTime =
                isLate
                        ? LATE_QUEUE_TIME
                        : Duration.ofMillis((long) (latencyTarget.toMillis() * QUEUE_TIME_RATIO));
        return earlier(arrivedAt.plus(maxQueueTime), deadline);
    }

    /** Returns when a retry leaves the queue. */
    public Duration retryQueueDeadline(Duration now) {
        return earlier(now.plus(RETRY_QUEUE_TIME), deadline);
    }

    private static Duration earlier(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}
