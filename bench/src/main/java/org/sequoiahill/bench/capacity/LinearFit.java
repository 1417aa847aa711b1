package org.sequoiahill.bench.capacity;

import java.util.List;

/**
 * A least-squares straight line through measured points.
 *
 * @param intercept value at zero
 * @param slope increase per unit
 * @param slopeError standard error of the slope; zero with fewer than three points
 */
public record LinearFit(double intercept, double slope, double slopeError) {
    /**
     * One measured point.
     *
     * @param x size
     * @param y value at that size
     */
    public record Point(double x, double y) {}

    /**
     * Fits a line to points.
     *
     * @throws IllegalArgumentException if all points have the same size
     */
    public static LinearFit through(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
        double sumXx = points.stream().mapToDouble(p -> square(p.x() - meanX)).sum();
        if (sumXx == 0) {
            throw new IllegalArgumentException("a linear fit needs at least two sizes");
        }
        double sumXy = points.stream().mapToDouble(p -> (p.x() - meanX) * (p.y() - meanY)).sum();
        double slope = sumXy / sumXx;
        double intercept = meanY - slope * meanX;
        double residual =
                points.stream().mapToDouble(p -> square(p.y() - intercept - slope * p.x())).sum();
        int degreesOfFreedom = points.size() - 2;
        double error = degreesOfFreedom > 0 ? Math.sqrt(residual / degreesOfFreedom / sumXx) : 0;
        return new LinearFit(intercept, slope, error);
    }

    /** Returns the value of the line at a size. */
    public double valueAt(double size) {
        return intercept + slope * size;
    }

    private static double square(double value) {
        return value * value;
    }
}
