package org.sequoiahill.daemon.version.fetch;

import java.time.Duration;

/**
 * Additive-increase, multiplicative-decrease policy for the rate of chunk transfers on a link: the
 * rate halves after each interval in which the latency of requests exceeds the tolerance.
 *
 * @param minRate minimum in bytes per second, whatever the latency
 * @param maxRate bytes per second of the link
 * @param tolerance multiple of the base latency above which the rate is decreased
 */
public record LinkRatePolicy(double minRate, double maxRate, double tolerance) {
    private static final double INCREASE_SHARE = 0.05;
    private static final double DECREASE_FACTOR = 0.5;
    private static final double DEFAULT_TOLERANCE = 1.25;
    private static final double MIN_SHARE = 0.02;

    /** Returns the policy of a link. */
    public static LinkRatePolicy of(double fullRate) {
        return new LinkRatePolicy(fullRate * MIN_SHARE, fullRate, DEFAULT_TOLERANCE);
    }

    /**
     * Returns the rate of the next interval.
     *
     * @param current rate of the last interval
     * @param base latency of requests while no chunk is transferred; zero if unknown
     * @param latency latency of requests in the last interval; zero if there was no response
     */
    public double next(double current, Duration base, Duration latency) {
        if (latency.isZero() || base.isZero()) {
            return clamp(current + maxRate * INCREASE_SHARE);
        }
        boolean isSlow = latency.toNanos() > base.toNanos() * tolerance;
        return clamp(isSlow ? current * DECREASE_FACTOR : current + maxRate * INCREASE_SHARE);
    }

    private double clamp(double rate) {
        return Math.min(maxRate, Math.max(minRate, rate));
    }
}
