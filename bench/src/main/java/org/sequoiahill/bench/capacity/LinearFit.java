package org.sequoiahill.bench.capacity;

import java.util.List;

/**
 * A straight line through measured points, by least squares.
 *
 * @param intercept value at zero
 * @param slope rise for each unit
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
     * Fits a line.
     *
     * @throws IllegalArgumentException with fewer than two sizes
     */
    public static LinearFit through(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
        double sumXx = points.stream().mapToDouble(p -> square(p.x() - meanX)).sum();
        if (sumXx == 0) {
            throw new IllegalArgumentException("a line needs two sizes at least");
        }
        double sumXy = points.stream().mapToDouble(p -> (p.x() - meanX) * (p.y() - meanY)).sum();
        double slope = sumXy / sumXx;
        double intercept = meanY - slope * meanX;
        double residual =
                points.stream().mapToDouble(p -> square(p.y() - intercept - slope * p.x())).sum();
        int freedom = points.size() - 2;
        double error = freedom > 0 ? Math.sqrt(residual / freedom / sumXx) : 0;
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
