package org.sequoiahill.daemon.request.direct;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Counts requests, and retries by cause and by what allowed or denied them, and logs the state of
 * budgets.
 *
 * <p>Logs a line for each change of the number of entries, and one for the first denial per service
 * and window. Not thread-safe.
 */
final class RetryMonitor {
    private static final String RETRIES = "sequoia.entry.repeats";

    private final DirectSettings mSettings;
    private final Duration mStartedAt;
    private final MeterRegistry mRegistry;
    private final Map<String, Duration> mDeniedAt = new HashMap<>();

    /** Number of entries at the last decision, -1 before the first one. */
    private volatile int mEntries = -1;

    private RetryMonitor(DirectSettings settings, Duration startedAt, MeterRegistry registry) {
        mSettings = settings;
        mStartedAt = startedAt;
        mRegistry = registry;
    }

    /**
     * Returns a monitor.
     *
     * @param startedAt monotonic time at which this process started
     */
    static RetryMonitor of(DirectSettings settings, Duration startedAt, MeterRegistry registry) {
        RetryMonitor monitor = new RetryMonitor(settings, startedAt, registry);
        registry.gauge("sequoia.entry.slack.entries", monitor, each -> Math.max(0, each.mEntries));
        registry.gauge("sequoia.entry.slack.part", monitor, RetryMonitor::slackPerEntry);
        return monitor;
    }

    /** Records a request. */
    void onRequest() {
        mRegistry.counter("sequoia.entry.first.sendings").increment();
    }

    /** Records a retry that needs no budget. */
    void onUnbudgetedRetry(RetryPolicy.Cause cause) {
        count(cause, "unbudgeted");
    }

    /** Records the decision of a budget. */
    void onDecision(
            String service,
            RetryPolicy.Cause cause,
            SharedRetryBudget.Verdict verdict,
            SharedRetryBudget.Usage usage) {
        count(cause, verdict.name().toLowerCase(Locale.ROOT));
        if (usage.entries() != mEntries) {
            log("number of entries that share the retry slack changed", service, usage);
            mEntries = usage.entries();
        }
        if (verdict == SharedRetryBudget.Verdict.DENIED && isFirstDenial(service, usage.now())) {
            log("first retry denied in a window", service, usage);
            mDeniedAt.put(service, usage.now());
        }
    }

    private boolean isFirstDenial(String service, Duration now) {
        Duration last = mDeniedAt.get(service);
        return last == null || last.plus(mSettings.retryWindow()).compareTo(now) < 0;
    }

    private double slackPerEntry() {
        int entries = mEntries;
        return entries > 0 ? mSettings.retrySlack() / entries : 0;
    }

    private void count(RetryPolicy.Cause cause, String allowedBy) {
        mRegistry
                .counter(
                        RETRIES,
                        "cause",
                        cause.name().toLowerCase(Locale.ROOT),
                        "allowed_by",
                        allowedBy)
                .increment();
    }

    private void log(String event, String service, SharedRetryBudget.Usage usage) {
        Logger.info(
                "{}: service {}, {} requests with unused credit and {} retries in the window, slack"
                        + " of {} divided by {} entries (was {}), process started {} ms ago",
                event,
                service,
                usage.requests(),
                usage.retries(),
                mSettings.retrySlack(),
                usage.entries(),
                mEntries,
                usage.now().minus(mStartedAt).toMillis());
    }
}
