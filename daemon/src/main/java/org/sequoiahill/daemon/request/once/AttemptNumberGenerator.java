package org.sequoiahill.daemon.request.once;

import java.time.InstantSource;
import java.util.random.RandomGenerator;

/**
 * Generates attempt numbers: wall-clock time in milliseconds in the high bits, random low bits.
 *
 * <p>An agent compares the time with its own clock, so that it can evict old attempts. If a clock
 * is wrong, agents refuse requests, but never run one twice.
 */
public final class AttemptNumberGenerator {
    private static final int RANDOM_BITS = 22;

    private final InstantSource mClock;
    private final RandomGenerator mRandom;

    private AttemptNumberGenerator(InstantSource clock, RandomGenerator random) {
        mClock = clock;
        mRandom = random;
    }

    /** Returns a generator that uses the given clock and source of randomness. */
    public static AttemptNumberGenerator of(InstantSource clock, RandomGenerator random) {
        return new AttemptNumberGenerator(clock, random);
    }

    /** Returns a new positive number. */
    public long next() {
        return (mClock.millis() << RANDOM_BITS) | mRandom.nextLong(1L << RANDOM_BITS);
    }

    /** Returns the wall-clock time in milliseconds at which a number was generated. */
    static long millisOf(long attempt) {
        return attempt >>> RANDOM_BITS;
    }
}
