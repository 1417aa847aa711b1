package org.sequoiahill.daemon.process.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;

/**
 * Decides which source of configuration to ask next.
 *
 * <p>A source that doesn't answer keeps nobody else from being asked: it counts as failed after a
 * timeout, and backs off with jitter. Sources that have told of a newer revision go first. Not safe
 * for use by several threads.
 */
final class SourcePicker {
    /** Time after which a source that has not answered counts as failed. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    /** Most sources that are asked at once. */
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
     * Returns a picker that has asked nobody, and that starts at a random source.
     *
     * @param vms names of the sources
     */
    static SourcePicker over(List<String> vms, RandomGenerator random) {
        return new SourcePicker(vms, random);
    }

    /** Returns the source to ask now, if there is one, and notes that it is asked. */
    Optional<String> pick(Duration now, long heldRevision) {
        mSources.forEach(source -> source.failIfTimedOut(now, this::jitter));
        if (mSources.stream().filter(Source::isInFlight).count() >= MAX_IN_FLIGHT) {
            return Optional.empty();
        }
        Optional<Source> picked =
                readySourceAhead(now, heldRevision)
                        .or(() -> nextReadySource(now))
                        .or(this::earliestBackedOffSource);
        picked.ifPresent(source -> source.startRequest(now));
        return picked.map(source -> source.mVm);
    }

    /**
     * Notes the revision that a VM told; returns whether it is a source and ahead of what is held.
     */
    boolean onRevision(String vm, long revision, long heldRevision) {
        Optional<Source> source = sourceOf(vm);
        source.ifPresent(s -> s.mRevision = Math.max(s.mRevision, revision));
        return source.isPresent() && revision > heldRevision;
    }

    /** Returns whether a source that can be asked now is ahead of what is held. */
    boolean hasSourceAhead(Duration now, long heldRevision) {
        return readySourceAhead(now, heldRevision).isPresent();
    }

    /** Notes an answer that could be used, newer or not. */
    void onResponse(String vm, long revision) {
        sourceOf(vm).ifPresent(source -> source.succeed(revision));
    }

    /** Notes a failure, or an answer that contradicts itself, unless it has timed out before. */
    void onFailure(String vm, Duration now) {
        sourceOf(vm).filter(Source::isInFlight).ifPresent(source -> source.fail(now, jitter()));
    }

    private Optional<Source> readySourceAhead(Duration now, long heldRevision) {
        return mSources.stream()
                .filter(source -> source.isReady(now) && source.mRevision > heldRevision)
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

    /** With every source backing off, the one that is due first is asked early, one at a time. */
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

    /** What is known of one source. */
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
