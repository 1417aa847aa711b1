package org.sequoiahill.daemon.request.direct;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/** Retry budgets of all services at one entry. Thread-safe. */
public final class ServiceRetryBudgets {
    private final DirectSettings mSettings;
    private final SlackShare mSlackShare;
    private final MonotonicClock mClock;
    private final RetryMonitor mMonitor;
    private final Map<String, SharedRetryBudget> mBudgets = new HashMap<>();

    private ServiceRetryBudgets(
            DirectSettings settings,
            SlackShare slackShare,
            MonotonicClock clock,
            RetryMonitor monitor) {
        mSettings = settings;
        mSlackShare = slackShare;
        mClock = clock;
        mMonitor = monitor;
    }

    /** Returns empty budgets that report metrics to a registry. */
    public static ServiceRetryBudgets of(
            DirectSettings settings,
            SlackShare slackShare,
            MonotonicClock clock,
            MeterRegistry registry) {
        return new ServiceRetryBudgets(
                settings, slackShare, clock, RetryMonitor.of(settings, clock.now(), registry));
    }

    /** Records a request before it is queued, so also one that is never sent. */
    synchronized void onRequest(String service) {
        budgetOf(service).onRequest(mClock.now());
        mMonitor.onRequest();
    }

    /** Takes one retry from the budget of a service; returns whether it sufficed. */
    synchronized boolean tryAcquire(String service, RetryPolicy.Cause cause) {
        Duration now = mClock.now();
        int entries = mSlackShare.entryCount();
        SharedRetryBudget budget = budgetOf(service);
        SharedRetryBudget.Verdict verdict = budget.tryAcquire(now, entries);
        mMonitor.onDecision(service, cause, verdict, budget.usage(now, entries));
        return verdict != SharedRetryBudget.Verdict.DENIED;
    }

    /** Records a retry that needs no budget. */
    synchronized void onUnbudgetedRetry(RetryPolicy.Cause cause) {
        mMonitor.onUnbudgetedRetry(cause);
    }

    private SharedRetryBudget budgetOf(String service) {
        return mBudgets.computeIfAbsent(service, name -> SharedRetryBudget.of(mSettings));
    }
}
