package org.sequoiahill.bench.admission;

import java.time.Duration;

/**
 * A request of a played load.
 *
 * @param arrivedAt when its caller first asks
 * @param entry number of the entry that it comes to
 * @param kind what it asks for
 * @param promptTokens tokens to read
 * @param events events of its answer
 */
record SimulatedRequest(
        Duration arrivedAt, int entry, RequestKind kind, int promptTokens, int events) {
    /** Part of the worth that every request has, whatever its size. */
    private static final double FIXED_SHARE = 0.3;

    /** Returns the worth of an answer on time. */
    double worth() {
        return kind.worth() * sizeFactor();
    }

    /** Returns the worth of a late answer. */
    double lateWorth() {
        return kind.lateWorth() * sizeFactor();
    }

    private double sizeFactor() {
        return FIXED_SHARE + (1 - FIXED_SHARE) * promptTokens / kind.promptTokens().mean();
    }
}
