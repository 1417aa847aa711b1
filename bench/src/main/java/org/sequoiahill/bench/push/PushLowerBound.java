package org.sequoiahill.bench.push;

import java.time.Duration;

/** Lower bounds, set by links and the swap schedule, of the time that a push takes. */
final class PushLowerBound {
    private static final double NANOS_PER_SECOND = 1e9;

    private final PushShape mShape;

    PushLowerBound(PushShape shape) {
        mShape = shape;
    }

    /** Returns the minimum time until the last agent has all pieces. */
    Duration fetch() {
        double bits = mShape.versionBits();
        double engines = Math.ceil((double) mShape.engines() / mShape.regions());
        double entries = Math.floor((double) mShape.entries() / mShape.regions());
        double firstPiece = mShape.pieceBits() / mShape.originRate();
        double slowest = Math.max(bits / mShape.originRate(), bits / mShape.agentRate());
        slowest = Math.max(slowest, engines * bits / (entries * mShape.entryRate()));
        if (mShape.regions() > 1) {
            slowest = Math.max(slowest, bits / mShape.interRegionRate());
        }
        return seconds(firstPiece + slowest);
    }

    /**
     * Returns the minimum time until the last engine serves the version.
     *
     * @param unavailable time for which an engine is unavailable while it swaps versions
     */
    Duration serve(Duration unavailable) {
        return fetch().plus(
                        unavailable.multipliedBy(Math.min(mShape.engines(), SimulatedPush.GROUPS)));
    }

    private static Duration seconds(double seconds) {
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    }
}
