package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Optional;
import org.sequoiahill.daemon.process.fleet.Route;

/**
 * Until when a request may wait, and for what.
 *
 * <p>Under more load than the engines bear, a queue whose requests wait until their time is up
 * makes every answer late. So a request gives up while there is still time to serve the next one
 * well; one that is late anyway waits for room that no other needs.
 *
 * @param arrivedAt when the request came
 * @param deadline when its answer must have ended
 * @param isLate whether the answer can't be on time any more
 */
public record RequestDeadlines(Duration arrivedAt, Duration deadline, boolean isLate) {
    /** Part of the time for an answer that may pass before it is sent; the rest is to serve it. */
    private static final double QUEUE_TIME_RATIO = 0.4;

    /** Longest time that a request waits whose answer is late anyway. */
    private static final Duration LATE_QUEUE_TIME = Duration.ofMillis(800);

    /** Longest time that a request waits to be sent again. */
    private static final Duration RETRY_QUEUE_TIME = Duration.ofMillis(400);

    /**
     * Returns the times of a request.
     *
     * @param patience how long the caller waits; one that comes back has less left than at first
     */
    public static RequestDeadlines of(
            Duration arrivedAt, Route route, Optional<Duration> patience) {
        Duration timeout = route.timeout();
        Duration left = patience.orElse(timeout);
        boolean isLate = left.compareTo(timeout.minus(route.latencyTarget())) < 0;
        return new RequestDeadlines(arrivedAt, arrivedAt.plus(earlier(left, timeout)), isLate);
    }

    /** Returns when a request gives up that has not been sent. */
    public Duration queueDeadline(Duration target) {
        Duration wait =
                isLate
                        ? LATE_QUEUE_TIME
                        : Duration.ofMillis((long) (target.toMillis() * QUEUE_TIME_RATIO));
        return earlier(arrivedAt.plus(wait), deadline);
    }

    /** Returns when a request gives up that is to be sent again. */
    public Duration retryQueueDeadline(Duration now) {
        return earlier(now.plus(RETRY_QUEUE_TIME), deadline);
    }

    private static Duration earlier(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}
