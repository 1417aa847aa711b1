package org.sequoiahill.bench.capacity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiahill.bench.capacity.LinearFit.Point;

class LinearFitTest {
    private static final double TOLERANCE = 1e-9;

    @Test
    void through_collinearPoints_exactFitWithZeroError() {
        LinearFit fit =
                LinearFit.through(List.of(new Point(10, 7), new Point(30, 17), new Point(100, 52)));

        assertThat(fit.slope(), closeTo(0.5, TOLERANCE));
        assertThat(fit.intercept(), closeTo(2, TOLERANCE));
        assertThat(fit.slopeError(), closeTo(0, TOLERANCE));
        assertThat(fit.valueAt(300), closeTo(152, TOLERANCE));
    }

    @Test
    void through_scatteredPoints_slopeErrorPositive() {
        LinearFit fit =
                LinearFit.through(List.of(new Point(1, 1), new Point(2, 4), new Point(3, 4)));

        assertThat(fit.slopeError(), greaterThan(0.1));
    }

    @Test
    void through_oneSize_throws() {
        assertThrows(
                IllegalArgumentException.class,
                () -> LinearFit.through(List.of(new Point(5, 1), new Point(5, 2))));
    }
}
