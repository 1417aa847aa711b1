package org.sequoiahill.daemon.request.retry;

import java.time.Duration;
import org.sequoiahill.daemon.request.Outcome;

/** Decision after an attempt without a response. */
public enum RetryDecision {
    /** Queue again until an endpoint has capacity; no retry is used up. */
    WAIT_AGAIN,
    /** Retry at another endpoint. */
    RETRY,
    /** Refuse the request, which has not run. */
    REFUSE_NOT_RUN,
    /** Report to the caller that the request may have run. */
    OUTCOME_UNKNOWN;

    /**
     * Maximum number of attempts per request, not counting those refused because the target could
     * not accept the request at that time.
     */
    public static final int MAX_ATTEMPTS = 4;

    /**
     * State of a request after a failed attempt.
     *
     * @param isIdempotent whether the request may run more than once
     * @param mayHaveRun whether an earlier attempt may have run
     * @param attempts number of failed attempts so far, not counting those refused because the
     *     target could not accept the request at that time
     * @param remaining time until the deadline
     */
    public record State(
            boolean isIdempotent, boolean mayHaveRun, int attempts, Duration remaining) {}

    /**
     * Decides what follows from an attempt that has provably not run or whose outcome is unknown;
     * takes from the budget only if the decision is to retry.
     */
    public static RetryDecision decide(Outcome outcome, State state, RetryBudget budget) {
        boolean isNotRun = outcome instanceof Outcome.NotRun;
        boolean mayHaveRun = state.mayHaveRun() || !isNotRun;
        if (mayHaveRun && !state.isIdempotent()) {
            return OUTCOME_UNKNOWN;
        }
        boolean hasTime = state.remaining().compareTo(Duration.ZERO) > 0;
        if (hasTime && outcome instanceof Outcome.NotRun notRun && isTargetUnavailable(notRun)) {
            return WAIT_AGAIN;
        }
        if (hasTime && state.attempts() < MAX_ATTEMPTS && budget.withdraw()) {
            return RETRY;
        }
        return mayHaveRun ? OUTCOME_UNKNOWN : REFUSE_NOT_RUN;
    }

    /** Returns whether an attempt was refused because the target can't accept the request now. */
    public static boolean isTargetUnavailable(Outcome.NotRun notRun) {
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
