package org.sequoiahill.daemon.request.direct;

import org.sequoiahill.daemon.process.fleet.Route;

/** Decides whether a request whose sending brought no answer is sent again. */
final class RetryPolicy {
    /** Sendings beyond the route's attempts that may follow from ones that did not run. */
    private static final int EXTRA_NOT_RUN_ATTEMPTS = 2;

    private RetryPolicy() {}

    /** What became of a sending. */
    enum Cause {
        /** Nothing was sent, since no connection could be made. */
        UNSENT,
        /** The endpoint stated that it did not run the request. */
        NOT_RUN,
        /** The request was sent and no answer of its own came. */
        LOST,
        /** The endpoint answered with a failure of its own. */
        FAILED
    }

    /** What to do. */
    enum Decision {
        /** Send again at once. */
        REPEAT,
        /** Send again where the shared budget of repeats has room. */
        REPEAT_IN_BUDGET,
        /** Refuse; the request has not run. */
        REFUSE,
        /** Answer that the outcome isn't known. */
        UNKNOWN,
        /** Pass the endpoint's failure on. */
        PASS_ON
    }

    /**
     * Returns what to do.
     *
     * @param sendings sendings of the request so far
     * @param runs sendings that ran or may have run
     * @param isTimeLeft whether an answer could still come in time
     */
    static Decision decide(Cause cause, Route route, int sendings, int runs, boolean isTimeLeft) {
        boolean isUnrun = cause == Cause.UNSENT || cause == Cause.NOT_RUN;
        boolean mayRepeat =
                isTimeLeft
                        && sendings < route.maxAttempts() + EXTRA_NOT_RUN_ATTEMPTS
                        && runs < route.maxAttempts()
                        && (isUnrun || route.isRetryable());
        if (mayRepeat) {
            return cause == Cause.UNSENT ? Decision.REPEAT : Decision.REPEAT_IN_BUDGET;
        }
        return decideWithoutRetry(cause, runs);
    }

    /** Returns what to do where the request is not sent again. */
    static Decision decideWithoutRetry(Cause cause, int runs) {
        if (cause == Cause.FAILED) {
            return Decision.PASS_ON;
        }
        return runs == 0 ? Decision.REFUSE : Decision.UNKNOWN;
    }
}
