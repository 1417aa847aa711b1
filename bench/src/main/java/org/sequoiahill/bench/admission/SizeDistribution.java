package org.sequoiahill.bench.admission;

import java.util.random.RandomGenerator;

/**
 * A log-normal distribution of sizes, cut off at a maximum.
 *
 * @param mean mean size before the cut-off
 * @param logDeviation standard deviation of the logarithm
 * @param max largest size; the smallest is 1
 */
record SizeDistribution(double mean, double logDeviation, double max) {
    int sample(RandomGenerator random) {
        double size =
                mean
                        * Math.exp(
                                logDeviation * random.nextGaussian()
                                        - logDeviation * logDeviation / 2);
        return (int) Math.max(1, Math.min(max, size));
    }
}
