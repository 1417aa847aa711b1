package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.VersionAge;
import org.tinylog.Logger;

/**
 * Publication times of the recent versions of all models, as known to one daemon.
 *
 * <p>A daemon may learn of a version long after its publication, for example because its VM was
 * paused or cut off. Stores therefore report the ages of versions, and the earliest time that is
 * known of each version counts.
 */
public final class PublicationTimes {
    /** Age above which a version is not reported any more. */
    private static final Duration MAX_REPORTED_AGE = Duration.ofMinutes(5);

    /** Smaller corrections are within the variation of the network's delay. */
    private static final Duration MIN_CORRECTION = Duration.ofMillis(50);

    private final MonotonicClock mClock;
    private final Map<String, VersionHistory> mHistories = new HashMap<>();

    private PublicationTimes(MonotonicClock clock) {
        mClock = clock;
    }

    /** Returns an empty collection. */
    public static PublicationTimes of(MonotonicClock clock) {
        return new PublicationTimes(clock);
    }

    /** Records the versions of a state that are newer than all known ones, with an age. */
    public synchronized void record(FleetState state, Duration age) {
        Duration publishedAt = mClock.now().minus(age);
        state.versions()
                .forEach(
                        (model, version) -> {
                            VersionHistory history = history(model);
                            if (version > history.newest().orElse(0)) {
                                mHistories.put(model, history.with(version, publishedAt));
                            }
                        });
    }

    /** Records the ages that a store reports; returns whether any time changed. */
    synchronized boolean recordAges(List<VersionAge> ages) {
        boolean isChanged = false;
        for (VersionAge age : ages) {
            isChanged |= recordAge(age);
        }
        return isChanged;
    }

    private boolean recordAge(VersionAge age) {
        Duration now = mClock.now();
        Duration publishedAt = now.minusMillis(age.getAgeMillis());
        VersionHistory history = history(age.getModel());
        Optional<Duration> known = history.publishedAt(age.getVersion());
        if (known.isPresent()
                && publishedAt.plus(MIN_CORRECTION).compareTo(known.orElseThrow()) > 0) {
            return false;
        }
        VersionHistory corrected = history.with(age.getVersion(), publishedAt);
        if (corrected.publishedAt(age.getVersion()).isEmpty()) {
            return false;
        }
        mHistories.put(age.getModel(), corrected);
        Logger.info(
                "version {} of {} is {} ms old, earlier estimate: {}",
                age.getVersion(),
                age.getModel(),
                age.getAgeMillis(),
                known.map(now::minus));
        return true;
    }

    /** Returns the current ages of the recent versions. */
    synchronized List<VersionAge> ages() {
        Duration now = mClock.now();
        List<VersionAge> ages = new ArrayList<>();
        mHistories.forEach(
                (model, history) ->
                        history.publishedSince(now.minus(MAX_REPORTED_AGE))
                                .forEach(
                                        (version, publishedAt) ->
                                                ages.add(
                                                        new VersionAge(
                                                                model,
                                                                version,
                                                                now.minus(publishedAt)
                                                                        .toMillis()))));
        return ages;
    }

    /** Returns the history of each model. */
    synchronized Map<String, VersionHistory> histories() {
        return Map.copyOf(mHistories);
    }

    private VersionHistory history(String model) {
        return mHistories.getOrDefault(model, VersionHistory.NONE);
    }
}
