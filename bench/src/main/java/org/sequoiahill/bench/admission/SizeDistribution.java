package org.sequoiahill.bench.admission;

import java.util.random.RandomGenerator;

/**
 * Sizes that are spread log-normally.
 *
 * @param mean mean size
 * @param logDeviation standard deviation of the logarithm
 * @param max largest size
 */
record SizeDistribution(double mean, double logDeviation, double max) {
    int sample(RandomGenerator random) {
        double size = mean * Math.exp(logDeviation * random.nextGaussian() - logDeviation * logDeviation / 2);
        return (int) Math.max(1, Math.min(max, size));
    }
}
