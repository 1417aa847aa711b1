package org.sequoiahill.daemon.request.direct;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.fleet.Route;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.request.direct.RetryPolicy.Cause;
import org.sequoiahill.daemon.request.direct.RetryPolicy.Decision;

/** The attempts of one request so far. */
final class AttemptHistory {
    private final Set<String> mEndpoints = new HashSet<>();
    private final Map<HostPort, Integer> mAttemptsByAddress = new HashMap<>();
    private int mAttempts;
    private int mPossibleRuns;
    private boolean mWasSent;
    private boolean mIsRetryPaid;

    /** Adds an attempt; returns the number of attempts at the endpoint's address so far. */
    int add(EndpointInfo endpoint) {
        mIsRetryPaid = false;
        mAttempts++;
        mEndpoints.add(endpoint.id());
        return mAttemptsByAddress.merge(endpoint.address(), 1, Integer::sum);
    }

    /** Records that an attempt is about to be sent. */
    void onSent() {
        mWasSent = true;
    }

    /** Returns whether any attempt may have been sent, whatever its result. */
    boolean wasSent() {
        return mWasSent;
    }

    /** Records that an attempt brought no successful response. */
    void onFailed(Cause cause) {
        if (cause == Cause.LOST || cause == Cause.FAILED) {
            mPossibleRuns++;
        }
    }

    /** Returns the ids of the endpoints to which the request has been sent. */
    Set<String> endpoints() {
        return mEndpoints;
    }

    /** Returns the number of failed attempts that ran or may have run. */
    int possibleRuns() {
        return mPossibleRuns;
    }

    /** Returns whether a failed attempt ran or may have run. */
    boolean mayHaveRun() {
        return mPossibleRuns > 0;
    }

    /** Returns whether to retry after an attempt that failed; see {@link RetryPolicy#decide}. */
    Decision decide(Cause cause, Route route, boolean isTimeLeft) {
        return RetryPolicy.decide(cause, route, mAttempts, mPossibleRuns, isTimeLeft);
    }

    /** Charges a retry to the budgets; returns the decision instead if they don't suffice. */
    Decision charge(Decision decision, Cause cause, String service, ServiceRetryBudgets budgets) {
        if (decision == Decision.REPEAT_IN_BUDGET && !payRetry(cause, service, budgets)) {
            return RetryPolicy.decideWithoutRetry(cause, mPossibleRuns);
        }
        if (decision == Decision.REPEAT) {
            budgets.onUnbudgetedRetry(cause);
        }
        return decision;
    }

    /**
     * Charges the next attempt to the budgets unless it is paid for already; returns whether it is.
     */
    boolean payRetry(Cause cause, String service, ServiceRetryBudgets budgets) {
        mIsRetryPaid = mIsRetryPaid || budgets.tryAcquire(service, cause);
        return mIsRetryPaid;
    }
}
