package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.fleet.Route;

/**
 * Tracks the replacement of a silent attempt by one at another endpoint.
 *
 * <p>The silent attempt continues until the replacement has a permit. Its endpoint may only be
 * slow, and without a replacement there would be no response at all. Runs in the exchange's
 * invoker.
 */
final class SilenceRecovery {
    /** Time after which a replacement that was not possible is sought again. */
    private static final Duration SEARCH_INTERVAL = Duration.ofMillis(500);

    private final Route mRoute;
    private final Duration mDeadline;
    private final AttemptHistory mHistory;
    private final DirectStreamRelay mStreamRelay;
    private final RequestQuarantine mQuarantine;
    private @Nullable Duration mNextSearchAt;
    private boolean mIsQueued;

    private SilenceRecovery(
            Route route,
            Duration deadline,
            AttemptHistory history,
            DirectStreamRelay streamRelay,
            RequestQuarantine quarantine) {
        mRoute = route;
        mDeadline = deadline;
        mHistory = history;
        mStreamRelay = streamRelay;
        mQuarantine = quarantine;
    }

    /**
     * Returns the recovery of one exchange.
     *
     * @param deadline when the response must be complete
     */
    static SilenceRecovery of(
            Route route,
            Duration deadline,
            AttemptHistory history,
            DirectStreamRelay streamRelay,
            RequestQuarantine quarantine) {
        return new SilenceRecovery(route, deadline, history, streamRelay, quarantine);
    }

    /** Returns whether an attempt has been silent for so long that another may replace it. */
    boolean isReplaceable(EndpointAttempt attempt, Duration now) {
        return !mStreamRelay.isPaused()
                && SilencePolicy.shouldRetryElsewhere(
                        mRoute, mHistory.possibleRuns(), attempt.lastReceivedAt(), mDeadline, now)
                && mQuarantine.recheck(true).isEmpty();
    }

    /**
     * Returns whether a replacement must be sought now. If so, records that the attempt is silent,
     * and starts the time until the next search.
     */
    boolean shouldSearch(EndpointAttempt attempt, Duration now) {
        boolean isDue = mNextSearchAt == null || now.compareTo(mNextSearchAt) >= 0;
        if (mIsQueued || !isDue || !isReplaceable(attempt, now)) {
            return false;
        }
        mNextSearchAt = now.plus(SEARCH_INTERVAL);
        attempt.permit().onSilence();
        return true;
    }

    /** Records that the request waits for a permit while its silent attempt continues. */
    void onQueued() {
        mIsQueued = true;
    }

    /** Returns whether the request waits for a permit that was sought for a silent attempt. */
    boolean isQueued() {
        return mIsQueued;
    }

    /** Records that the request no longer waits; returns whether it did. */
    boolean endQueued() {
        boolean wasQueued = mIsQueued;
        mIsQueued = false;
        return wasQueued;
    }
}
