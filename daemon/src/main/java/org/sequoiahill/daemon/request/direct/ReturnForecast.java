package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Optional;

/**
 * Predicts when a model will be served again that no engine serves now.
 *
 * <p>Answers the return of a whole fleet: engines come back without weights, and callers that are
 * told to come back at once ask in vain and use up their tries. Not safe for several threads.
 */
final class ReturnForecast {
    /** Time from the start of engines until they have loaded the weights; docs/CAPACITY.md. */
    private static final Duration RELOAD = Duration.ofSeconds(5);

    private final Duration mLeast;
    private Optional<Duration> mGoneSince = Optional.empty();

    private ReturnForecast(Duration least) {
        mLeast = least;
    }

    /**
     * Returns a forecast.
     *
     * @param least shortest time that is ever predicted
     */
    static ReturnForecast of(Duration least) {
        return new ReturnForecast(least);
    }

    /** Notes that an engine serves the model. */
    void served() {
        mGoneSince = Optional.empty();
    }

    /** Notes that no engine serves the model, and returns how long that will probably last. */
    Duration gone(Duration now) {
        Duration since = mGoneSince.orElse(now);
        mGoneSince = Optional.of(since);
        Duration left = RELOAD.minus(now.minus(since));
        return left.compareTo(mLeast) > 0 ? left : mLeast;
    }
}
