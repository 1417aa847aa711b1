package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.sequoiahill.daemon.process.fleet.Route;

/**
 * Decides when an endpoint has been silent for so long that a request should be retried elsewhere.
 *
 * <p>Connections may go silent without a reset, and endpoints may hang; neither can be detected in
 * any other way. A request that must not run twice keeps waiting, since a retry could run it a
 * second time.
 */
final class SilencePolicy {
    /**
     * Maximum wait for the headers of a response, or for the next event of a stream. With no more
     * than this left until the deadline, a retry is not worthwhile.
     */
    private static final Duration MAX_SILENCE = Duration.ofMillis(1_500);

    private SilencePolicy() {}

    /**
     * Returns whether to retry at another endpoint.
     *
     * @param runs attempts that ran or may have run, not counting the current one
     * @param lastReceivedAt when the headers or the last event with data were received, or when the
     *     request was sent
     * @param deadline when the response must be complete
     */
    static boolean shouldRetryElsewhere(
            Route route, int runs, Duration lastReceivedAt, Duration deadline, Duration now) {
        return route.isRetryable()
                && runs + 1 < route.maxAttempts()
                && deadline.minus(now).compareTo(MAX_SILENCE) > 0
                && now.minus(lastReceivedAt).compareTo(MAX_SILENCE) > 0;
    }
}
