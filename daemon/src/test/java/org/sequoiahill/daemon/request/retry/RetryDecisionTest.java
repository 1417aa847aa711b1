package org.sequoiahill.daemon.request.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.request.Outcome;

final class RetryDecisionTest {
    /** The outcome is "unknown" or the code of a refusal that proves the request has not run. */
    @ParameterizedTest
    @CsvSource({
        "full waits again, endpoint_full, false, false, 0, 100, 0, WAIT_AGAIN",
        "full waits however often, endpoint_full, false, false, 9, 100, 0, WAIT_AGAIN",
        "full after the deadline, endpoint_full, false, false, 0, 0, 9, REFUSE_NOT_RUN",
        "draining waits again, endpoint_leaving, false, false, 0, 100, 0, WAIT_AGAIN",
        "out of service waits again, data_centre_out, false, false, 0, 100, 0, WAIT_AGAIN",
        "unreachable is retried, unreachable, false, false, 1, 100, 1, RETRY",
        "unreachable without budget, unreachable, false, false, 1, 100, 0, REFUSE_NOT_RUN",
        "unreachable too often, unreachable, false, false, 4, 100, 9, REFUSE_NOT_RUN",
        "unreachable after the deadline, unreachable, false, false, 1, 0, 9, REFUSE_NOT_RUN",
        "unknown may not be retried, unknown, false, false, 1, 100, 9, OUTCOME_UNKNOWN",
        "unknown and idempotent, unknown, true, false, 1, 100, 9, RETRY",
        "unknown and idempotent without budget, unknown, true, false, 1, 100, 0, OUTCOME_UNKNOWN",
        "idempotent that may have run, unreachable, true, true, 4, 100, 9, OUTCOME_UNKNOWN",
        "late idempotent that may have run, endpoint_full, true, true, 1, 0, 9, OUTCOME_UNKNOWN",
        "not idempotent that may have run, endpoint_full, false, true, 1, 100, 9, OUTCOME_UNKNOWN",
        "a refusal of the request itself, body_too_large, false, false, 4, 100, 9, REFUSE_NOT_RUN",
    })
    void decide_case_isAsExpected(
            String what,
            String outcome,
            boolean isIdempotent,
            boolean mayHaveRun,
            int attempts,
            long remainingMillis,
            int budget,
            RetryDecision expected) {
        RetryDecision.State state =
                new RetryDecision.State(
                        isIdempotent, mayHaveRun, attempts, Duration.ofMillis(remainingMillis));
        assertThat(
                what,
                RetryDecision.decide(outcomeOf(outcome), state, budgetOf(budget)),
                is(expected));
    }

    @Test
    void withdraw_storm_isLimitedToTheShareOfTraffic() {
        RetryBudget budget = RetryBudget.of(0.1, 10);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.deposit();
            retries += budget.withdraw() ? 1 : 0;
        }
        assertThat(retries <= 110, is(true));
    }

    private static Outcome outcomeOf(String text) {
        return text.equals("unknown")
                ? new Outcome.Unknown(new IOException("lost"))
                : new Outcome.NotRun(text, Duration.ZERO);
    }

    private static RetryBudget budgetOf(int tokens) {
        return RetryBudget.of(0, tokens);
    }
}
