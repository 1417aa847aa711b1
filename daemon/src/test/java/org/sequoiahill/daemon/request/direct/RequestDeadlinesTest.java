package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.fleet.Route;

/**
 * Tests of {@link RequestDeadlines}; the route has a timeout of 4 s and a latency target of 400 ms.
 */
final class RequestDeadlinesTest {
    private static final Duration ARRIVAL = Duration.ofSeconds(100);

    @ParameterizedTest
    @CsvSource({
        // timeout of the caller, or none; time to the deadline; whether late; time to the queue
        // deadline; all in ms
        ", 4000, false, 160",
        "4030, 4000, false, 160",
        "3700, 3700, false, 160",
        "3500, 3500, true, 800",
        "300, 300, true, 300"
    })
    void of_callerTimeout_givesTheDeadlines(
            Long timeout, long deadline, boolean isLate, long queueDeadline) {
        Route route = TestFleet.route(Route.Kind.IDEMPOTENT, 2);
        RequestDeadlines deadlines =
                RequestDeadlines.of(
                        ARRIVAL, route, Optional.ofNullable(timeout).map(Duration::ofMillis));
        assertThat(deadlines.deadline(), is(ARRIVAL.plusMillis(deadline)));
        assertThat(deadlines.isLate(), is(isLate));
        assertThat(
                deadlines.queueDeadline(route.latencyTarget()),
                is(ARRIVAL.plusMillis(queueDeadline)));
    }
}
