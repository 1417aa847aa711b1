package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.sequoiahill.daemon.process.fleet.Route;

/**
 * Decides when an endpoint has been silent for so long that a request is better sent elsewhere.
 *
 * <p>Connections may go silent without a reset, and endpoints may hang; neither shows in any other
 * way. A request that must not run twice waits on, since another sending could double it.
 */
final class SilencePolicy {
    /** Longest wait for the head of an answer, or for the next event of a stream. */
    private static final Duration MAX_SILENCE = Duration.ofMillis(1_500);

    private SilencePolicy() {}

    /**
     * Returns whether to send elsewhere.
     *
     * @param runs sendings that ran or may have run, the current one not among them
     * @param heardAt when bytes came last, or when the request was sent
     * @param deadline when the answer must have ended
     */
    static boolean shouldRetryElsewhere(
            Route route, int runs, Duration heardAt, Duration deadline, Duration now) {
        return route.isRetryable()
                && runs + 1 < route.maxAttempts()
                && deadline.minus(now).compareTo(MAX_SILENCE) > 0
                && now.minus(heardAt).compareTo(MAX_SILENCE) > 0;
    }
}
