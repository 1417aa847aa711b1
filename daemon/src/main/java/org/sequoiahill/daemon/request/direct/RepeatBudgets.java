package org.sequoiahill.daemon.request.direct;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/** Budgets of repeats of all services at one entry. Safe for several threads. */
public final class RepeatBudgets {
    private final DirectSettings mSettings;
    private final SlackShare mSlackShare;
    private final MonotonicClock mClock;
    private final RepeatMonitor mMonitor;
    private final Map<String, RepeatBudget> mBudgets = new HashMap<>();

    private RepeatBudgets(
            DirectSettings settings,
            SlackShare slackShare,
            MonotonicClock clock,
            RepeatMonitor monitor) {
        mSettings = settings;
        mSlackShare = slackShare;
        mClock = clock;
        mMonitor = monitor;
    }

    /** Returns empty budgets that are counted on a registry. */
    public static RepeatBudgets of(
            DirectSettings settings,
            SlackShare slackShare,
            MonotonicClock clock,
            MeterRegistry registry) {
        return new RepeatBudgets(
                settings, slackShare, clock, RepeatMonitor.of(settings, clock.now(), registry));
    }

    /** Notes a request's first sending, whatever becomes of it. */
    synchronized void noteFirst(String service) {
        budgetOf(service).noteFirst(mClock.now());
        mMonitor.noteFirst();
    }

    /** Takes one repeat from the budget of a service; returns whether it had room. */
    synchronized boolean take(String service, RepeatRule.Cause cause) {
        Duration now = mClock.now();
        int entries = mSlackShare.entries();
        RepeatBudget budget = budgetOf(service);
        RepeatBudget.Verdict verdict = budget.take(now, entries);
        mMonitor.decided(service, cause, verdict, budget.usage(now, entries));
        return verdict != RepeatBudget.Verdict.DENIED;
    }

    /** Notes a repeat that needs no budget. */
    synchronized void noteUnbudgeted(RepeatRule.Cause cause) {
        mMonitor.unbudgeted(cause);
    }

    private RepeatBudget budgetOf(String service) {
        return mBudgets.computeIfAbsent(service, name -> RepeatBudget.of(mSettings));
    }
}
