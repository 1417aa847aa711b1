package org.sequoiahill.daemon.request.retry;

import java.time.Duration;
import org.sequoiahill.daemon.request.Outcome;

/** What follows from an attempt that was not answered. */
public enum RetryDecision {
    /** Wait for the next free place; nothing was used up. */
    WAIT_AGAIN,
    /** Send again, elsewhere. */
    RETRY,
    /** Refuse; the request has not run. */
    REFUSE_NOT_RUN,
    /** Tell the caller that the request may have run. */
    OUTCOME_UNKNOWN;

    /** Most attempts of one request that are not refusals for want of room. */
    public static final int MAX_ATTEMPTS = 4;

    /**
     * What is known of the request.
     *
     * @param isIdempotent whether it may run more than once
     * @param mayHaveRun whether an earlier attempt may have run
     * @param attempts attempts that broke, this one included
     * @param remaining time until its deadline
     */
    public record State(
            boolean isIdempotent, boolean mayHaveRun, int attempts, Duration remaining) {}

    /**
     * Decides on an attempt that proved not to have run or whose outcome is unknown; takes from the
     * budget only where it retries.
     */
    public static RetryDecision decide(Outcome outcome, State state, RetryBudget budget) {
        boolean isNotRun = outcome instanceof Outcome.NotRun;
        boolean mayHaveRun = state.mayHaveRun() || !isNotRun;
        if (mayHaveRun && !state.isIdempotent()) {
            return OUTCOME_UNKNOWN;
        }
        boolean hasTime = state.remaining().compareTo(Duration.ZERO) > 0;
        if (hasTime && outcome instanceof Outcome.NotRun notRun && isCapacityRefusal(notRun)) {
            return WAIT_AGAIN;
        }
        if (hasTime && state.attempts() < MAX_ATTEMPTS && budget.withdraw()) {
            return RETRY;
        }
        return mayHaveRun ? OUTCOME_UNKNOWN : REFUSE_NOT_RUN;
    }

    /** Returns whether an attempt was refused because the place takes nothing now. */
    public static boolean isCapacityRefusal(Outcome.NotRun notRun) {
        return switch (notRun.code()) {
            case "endpoint_full",
                    "endpoint_not_serving",
                    "endpoint_leaving",
                    "data_centre_out",
                    "entry_leaving",
                    "no_endpoint",
                    "organisation_full",
                    "queue_full",
                    "shed" ->
                    true;
            default -> false;
        };
    }
}
