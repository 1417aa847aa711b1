package org.sequoiahill.daemon.request.once;

import java.time.InstantSource;
import java.util.random.RandomGenerator;

/**
 * Numbers of attempts: the wall clock in milliseconds above random bits.
 *
 * <p>An agent compares the clock part with its own to forget old attempts. A clock that is wrong
 * makes agents refuse calls and never makes one run twice.
 */
public final class AttemptNumberGenerator {
    private static final int RANDOM_BITS = 22;

    private final InstantSource mClock;
    private final RandomGenerator mRandom;

    private AttemptNumberGenerator(InstantSource clock, RandomGenerator random) {
        mClock = clock;
        mRandom = random;
    }

    /** Returns numbers drawn from a clock and a generator. */
    public static AttemptNumberGenerator of(InstantSource clock, RandomGenerator random) {
        return new AttemptNumberGenerator(clock, random);
    }

    /** Returns a new number, above zero. */
    public long next() {
        return (mClock.millis() << RANDOM_BITS) | mRandom.nextLong(1L << RANDOM_BITS);
    }

    /** Returns the wall clock in milliseconds at which a number was drawn. */
    static long millisOf(long attempt) {
        return attempt >>> RANDOM_BITS;
    }
}
