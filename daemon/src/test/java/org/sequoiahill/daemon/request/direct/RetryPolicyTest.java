package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.fleet.Route;

/** Tests of {@link RetryPolicy}. */
final class RetryPolicyTest {
    @ParameterizedTest
    @CsvSource({
        // cause, kind, attempts, runs, whether time is left; decision (routes allow 2 attempts)
        "UNSENT, ONCE, 1, 0, true, REPEAT",
        "UNSENT, ONCE, 3, 0, true, REPEAT",
        "UNSENT, ONCE, 4, 0, true, REFUSE",
        "UNSENT, ONCE, 1, 0, false, REFUSE",
        "NOT_RUN, ONCE, 1, 0, true, REPEAT_IN_BUDGET",
        "NOT_RUN, ONCE, 4, 0, true, REFUSE",
        "LOST, ONCE, 1, 1, true, UNKNOWN",
        "FAILED, ONCE, 1, 1, true, PASS_ON",
        "LOST, IDEMPOTENT, 1, 1, true, REPEAT_IN_BUDGET",
        "LOST, IDEMPOTENT, 2, 2, true, UNKNOWN",
        "LOST, IDEMPOTENT, 1, 1, false, UNKNOWN",
        "FAILED, IDEMPOTENT, 1, 1, true, REPEAT_IN_BUDGET",
        "FAILED, IDEMPOTENT, 2, 2, true, PASS_ON",
        "NOT_RUN, IDEMPOTENT, 2, 1, true, REPEAT_IN_BUDGET",
        "NOT_RUN, IDEMPOTENT, 4, 1, true, UNKNOWN",
        "LOST, STREAM, 1, 1, true, REPEAT_IN_BUDGET"
    })
    void decide_cause_dependsOnWhatMayHaveRun(
            RetryPolicy.Cause cause,
            Route.Kind kind,
            int attempts,
            int runs,
            boolean isTimeLeft,
            RetryPolicy.Decision decision) {
        Route route = TestFleet.route(kind, 2);
        assertThat(RetryPolicy.decide(cause, route, attempts, runs, isTimeLeft), is(decision));
    }
}
