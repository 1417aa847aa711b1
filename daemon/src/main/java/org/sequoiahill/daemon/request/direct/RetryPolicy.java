package org.sequoiahill.daemon.request.direct;

import org.sequoiahill.daemon.process.fleet.Route;

/** Decides whether a request is retried after an attempt without a successful response. */
final class RetryPolicy {
    /** Attempts beyond the route's maximum that are allowed if earlier ones did not run. */
    private static final int EXTRA_NOT_RUN_ATTEMPTS = 2;

    private RetryPolicy() {}

    /** Cause of a possible retry. */
    enum Cause {
        /** Nothing was sent, usually because no connection could be established. */
        UNSENT,
        /** The endpoint stated that it did not run the request. */
        NOT_RUN,
        /** The request was sent, and no usable response to it was received. */
        LOST,
        /** The endpoint responded that it failed; see {@link ResponseMetadata#isFailure}. */
        FAILED
    }

    /** Decision after an attempt. */
    enum Decision {
        /** Retry immediately. */
        REPEAT,
        /** Retry if the shared retry budget allows it. */
        REPEAT_IN_BUDGET,
        /** Refuse the request, which has not run. */
        REFUSE,
        /** Report to the caller that the outcome is unknown. */
        UNKNOWN,
        /** Forward the endpoint's error response. */
        PASS_ON
    }

    /**
     * Returns the decision after an attempt.
     *
     * @param attempts attempts of the request so far
     * @param runs attempts that ran or may have run
     * @param isTimeLeft whether a response could still arrive before the deadline
     */
    static Decision decide(Cause cause, Route route, int attempts, int runs, boolean isTimeLeft) {
        boolean isNotRun = cause == Cause.UNSENT || cause == Cause.NOT_RUN;
        boolean mayRetry =
                isTimeLeft
                        && attempts < route.maxAttempts() + EXTRA_NOT_RUN_ATTEMPTS
                        && runs < route.maxAttempts()
                        && (isNotRun || route.isRetryable());
        if (mayRetry) {
            return cause == Cause.UNSENT ? Decision.REPEAT : Decision.REPEAT_IN_BUDGET;
        }
        return decideWithoutRetry(cause, runs);
    }

    /** Returns the decision if the request is not retried. */
    static Decision decideWithoutRetry(Cause cause, int runs) {
        if (cause == Cause.FAILED) {
            return Decision.PASS_ON;
        }
        return runs == 0 ? Decision.REFUSE : Decision.UNKNOWN;
    }
}
