package org.sequoiahill.daemon.process.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;

/**
 * Decides from which source to fetch the configuration next.
 *
 * <p>Sources that have announced a newer revision go first. A source that doesn't respond does not
 * block the others: it counts as failed after a timeout, and backs off with jitter. Not
 * thread-safe.
 */
final class SourcePicker {
    /** Time after which a source that has not responded counts as failed. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    /** Maximum number of fetches in flight. */
    static final int MAX_IN_FLIGHT = 3;

    private static final Duration FIRST_BACK_OFF = Duration.ofSeconds(1);
    private static final Duration MAX_BACK_OFF = Duration.ofSeconds(30);
    private static final int MAX_DOUBLINGS = 5;

    private final List<Source> mSources = new ArrayList<>();
    private final RandomGenerator mRandom;
    private int mNext;

    private SourcePicker(List<String> vms, RandomGenerator random) {
        vms.forEach(vm -> mSources.add(new Source(vm)));
        mRandom = random;
        mNext = vms.isEmpty() ? 0 : random.nextInt(vms.size());
    }

    /**
     * Returns a picker that starts at a random source.
     *
     * @param vms names of the sources
     */
    static SourcePicker over(List<String> vms, RandomGenerator random) {
        return new SourcePicker(vms, random);
    }

    /** Returns the source to fetch from now, if any, and records the fetch as in flight. */
    Optional<String> pick(Duration now, long currentRevision) {
        mSources.forEach(source -> source.failIfTimedOut(now, this::jitter));
        if (mSources.stream().filter(Source::isInFlight).count() >= MAX_IN_FLIGHT) {
            return Optional.empty();
        }
        Optional<Source> picked =
                readySourceAhead(now, currentRevision)
                        .or(() -> nextReadySource(now))
                        .or(this::earliestBackedOffSource);
        picked.ifPresent(source -> source.startRequest(now));
        return picked.map(source -> source.mVm);
    }

    /**
     * Records the revision that a VM has announced; returns whether it is a source with a newer
     * revision than the current one.
     */
    boolean onRevision(String vm, long revision, long currentRevision) {
        Optional<Source> source = sourceOf(vm);
        source.ifPresent(s -> s.mRevision = Math.max(s.mRevision, revision));
        return source.isPresent() && revision > currentRevision;
    }

    /** Returns whether a source that is ready now has a newer revision than the current one. */
    boolean hasSourceAhead(Duration now, long currentRevision) {
        return readySourceAhead(now, currentRevision).isPresent();
    }

    /** Records a valid response, whether its revision is newer or not. */
    void onResponse(String vm, long revision) {
        sourceOf(vm).ifPresent(source -> source.succeed(revision));
    }

    /** Records a failure or an invalid response, unless the fetch has already timed out. */
    void onFailure(String vm, Duration now) {
        sourceOf(vm).filter(Source::isInFlight).ifPresent(source -> source.fail(now, jitter()));
    }

    private Optional<Source> readySourceAhead(Duration now, long currentRevision) {
        return mSources.stream()
                .filter(source -> source.isReady(now) && source.mRevision > currentRevision)
                .findFirst();
    }

    private Optional<Source> nextReadySource(Duration now) {
        for (int i = 0; i < mSources.size(); i++) {
            Source source = mSources.get(Math.floorMod(mNext++, mSources.size()));
            if (source.isReady(now)) {
                return Optional.of(source);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the source whose back-off ends first if none is in flight, so that one is tried at a
     * time while all back off.
     */
    private Optional<Source> earliestBackedOffSource() {
        if (mSources.stream().anyMatch(Source::isInFlight)) {
            return Optional.empty();
        }
        return mSources.stream().min((a, b) -> a.mRetryAt.compareTo(b.mRetryAt));
    }

    private Optional<Source> sourceOf(String vm) {
        return mSources.stream().filter(source -> source.mVm.equals(vm)).findFirst();
    }

    private double jitter() {
        return mRandom.nextDouble(0.5, 1.0);
    }

    /** State of a source. */
    private static final class Source {
        private final String mVm;
        private Optional<Duration> mRequestedAt = Optional.empty();
        private Duration mRetryAt = Duration.ZERO;
        private int mFailures;
        private long mRevision;

        Source(String vm) {
            mVm = vm;
        }

        boolean isInFlight() {
            return mRequestedAt.isPresent();
        }

        boolean isReady(Duration now) {
            return !isInFlight() && mRetryAt.compareTo(now) <= 0;
        }

        void startRequest(Duration now) {
            mRequestedAt = Optional.of(now);
        }

        void succeed(long revision) {
            mRequestedAt = Optional.empty();
            mRetryAt = Duration.ZERO;
            mFailures = 0;
            mRevision = revision;
        }

        void fail(Duration now, double jitter) {
            mRequestedAt = Optional.empty();
            long doublings = Math.min(mFailures, MAX_DOUBLINGS);
            mFailures++;
            Duration backOff = FIRST_BACK_OFF.multipliedBy(1L << doublings);
            Duration bounded = backOff.compareTo(MAX_BACK_OFF) > 0 ? MAX_BACK_OFF : backOff;
            mRetryAt = now.plusMillis((long) (bounded.toMillis() * jitter));
        }

        void failIfTimedOut(Duration now, DoubleSupplier jitter) {
            if (mRequestedAt.isPresent()
                    && mRequestedAt.get().plus(RESPONSE_TIMEOUT).compareTo(now) <= 0) {
                fail(now, jitter.getAsDouble());
            }
        }
    }
}
