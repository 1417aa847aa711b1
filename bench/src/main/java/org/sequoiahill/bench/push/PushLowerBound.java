package org.sequoiahill.bench.push;

import java.time.Duration;

/** The shortest time in which links and turns let a fleet take a version. */
final class PushLowerBound {
    private static final double NANOS_PER_SECOND = 1e9;

    private final PushShape mShape;

    PushLowerBound(PushShape shape) {
        mShape = shape;
    }

    /** Returns the least time until the last agent has all pieces. */
    Duration fetch() {
        double bits = mShape.versionBits();
        double engines = Math.ceil((double) mShape.engines() / mShape.regions());
        double entries = Math.floor((double) mShape.entries() / mShape.regions());
        double first = mShape.pieceBits() / mShape.originRate();
        double most = Math.max(bits / mShape.originRate(), bits / mShape.agentRate());
        most = Math.max(most, engines * bits / (entries * mShape.entryRate()));
        if (mShape.regions() > 1) {
            most = Math.max(most, bits / mShape.interRegionRate());
        }
        return seconds(first + most);
    }

    /**
     * Returns the least time until the last engine serves the version.
     *
     * @param away time for which an engine is away while it changes over
     */
    Duration serve(Duration away) {
        return fetch().plus(away.multipliedBy(Math.min(mShape.engines(), SimulatedPush.GROUPS)));
    }

    private static Duration seconds(double seconds) {
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    }
}
