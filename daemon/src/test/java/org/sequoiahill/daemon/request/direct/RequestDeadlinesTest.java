package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.fleet.Route;

/** Table of {@link RequestDeadlines}; the route has a timeout of 4 s and a target of 400 ms. */
final class RequestDeadlinesTest {
    private static final Duration ARRIVAL = Duration.ofSeconds(100);

    @ParameterizedTest
    @CsvSource({
        // patience in ms, or none; time to the deadline, whether late, time to the give-up
        ", 4000, false, 160",
        "4030, 4000, false, 160",
        "3700, 3700, false, 160",
        "3500, 3500, true, 800",
        "300, 300, true, 300"
    })
    void of_patience_givesTheTimes(Long patience, long deadline, boolean isLate, long firstGiveUp) {
        Route route = TestFleet.route(Route.Kind.IDEMPOTENT, 2);
        RequestDeadlines times =
                RequestDeadlines.of(
                        ARRIVAL, route, Optional.ofNullable(patience).map(Duration::ofMillis));
        assertThat(times.deadline(), is(ARRIVAL.plusMillis(deadline)));
        assertThat(times.isLate(), is(isLate));
        assertThat(times.queueDeadline(route.latencyTarget()), is(ARRIVAL.plusMillis(firstGiveUp)));
    }
}
