package org.sequoiahill.bench.admission;

import java.util.random.RandomGenerator;

/**
 * Sizes that are spread log-normally.
 *
 * @param mean mean size
 * @param spread standard deviation of the logarithm
 * @param most largest size
 */
record Sizes(double mean, double spread, double most) {
    int draw(RandomGenerator random) {
        double size = mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
        return (int) Math.max(1, Math.min(most, size));
    }
}
