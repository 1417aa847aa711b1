package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Optional;

/**
 * Predicts when a model will be served again that no engine serves now.
 *
 * <p>Answers the return of a whole fleet: engines come back without weights, and callers that are
 * told to come back at once ask in vain and use up their tries. Not safe for several threads.
 */
final class RecoveryEstimator {
    /** Time from the start of engines until they have loaded the weights; docs/CAPACITY.md. */
    private static final Duration RELOAD_TIME = Duration.ofSeconds(5);

    private final Duration mMin;
    private Optional<Duration> mNotServedSince = Optional.empty();

    private RecoveryEstimator(Duration least) {
        mMin = least;
    }

    /**
     * Returns a forecast.
     *
     * @param least shortest time that is ever predicted
     */
    static RecoveryEstimator of(Duration least) {
        return new RecoveryEstimator(least);
    }

    /** Notes that an engine serves the model. */
    void onServed() {
        mNotServedSince = Optional.empty();
    }

    /** Notes that no engine serves the model, and returns how long that will probably last. */
    Duration onNotServed(Duration now) {
        Duration since = mNotServedSince.orElse(now);
        mNotServedSince = Optional.of(since);
        Duration left = RELOAD_TIME.minus(now.minus(since));
        return left.compareTo(mMin) > 0 ? left : mMin;
    }
}
