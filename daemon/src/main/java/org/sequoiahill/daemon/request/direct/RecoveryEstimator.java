package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Optional;

/**
 * Estimates when a model that no engine serves now will be served again.
 *
 * <p>When a whole fleet restarts, engines come back without weights; callers that were told to
 * retry immediately would be refused again and use up their retries. Not thread-safe.
 */
final class RecoveryEstimator {
    /**
     * Time from the start of the engines until they have loaded the weights; see docs/CAPACITY.md.
     */
    private static final Duration RELOAD_TIME = Duration.ofSeconds(5);

    private final Duration mMin;
    private Optional<Duration> mNotServedSince = Optional.empty();

    private RecoveryEstimator(Duration min) {
        mMin = min;
    }

    /**
     * Returns an estimator.
     *
     * @param min minimum time that is ever estimated
     */
    static RecoveryEstimator of(Duration min) {
        return new RecoveryEstimator(min);
    }

    /** Records that an engine serves the model. */
    void onServed() {
        mNotServedSince = Optional.empty();
    }

    /** Records that no engine serves the model; returns the estimated time until one does. */
    Duration onNotServed(Duration now) {
        Duration since = mNotServedSince.orElse(now);
        mNotServedSince = Optional.of(since);
        Duration left = RELOAD_TIME.minus(now.minus(since));
        return left.compareTo(mMin) > 0 ? left : mMin;
    }
}
