package org.sequoiahill.bench.admission;

import java.time.Duration;

/**
 * A request of a simulated load.
 *
 * @param arrivedAt time of the caller's first attempt
 * @param entry number of the entry that receives it
 * @param kind kind of request
 * @param promptTokens tokens of its prompt
 * @param events events of its response
 */
record SimulatedRequest(
        Duration arrivedAt, int entry, RequestKind kind, int promptTokens, int events) {
    /** Fraction of its kind's worth that a request has whatever the length of its prompt. */
    private static final double FIXED_SHARE = 0.3;

    /** Returns the worth of a response on time. */
    double worth() {
        return kind.worth() * sizeFactor();
    }

    /** Returns the worth of a late response. */
    double lateWorth() {
        return kind.lateWorth() * sizeFactor();
    }

    private double sizeFactor() {
        return FIXED_SHARE + (1 - FIXED_SHARE) * promptTokens / kind.promptTokens().mean();
    }
}
