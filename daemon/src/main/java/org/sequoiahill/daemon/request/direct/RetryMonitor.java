package org.sequoiahill.daemon.request.direct;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Counts repeats by cause and by what allowed them, and logs what a budget decided by.
 *
 * <p>There is a line for each change of the number of entries, and one for the first denial of a
 * service in a window. Not safe for several threads.
 */
final class RetryMonitor {
    private static final String RETRIES = "sequoia.entry.repeats";

    private final DirectSettings mSettings;
    private final Duration mStartedAt;
    private final MeterRegistry mRegistry;
    private final Map<String, Duration> mDeniedAt = new HashMap<>();
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

    /** Notes a request's first sending. */
    void onFirstAttempt() {
        mRegistry.counter("sequoia.entry.first.sendings").increment();
    }

    /** Notes a repeat that needs no budget. */
    void onUnbudgetedRetry(RetryPolicy.Cause cause) {
        count(cause, "unbudgeted");
    }

    /** Notes what a budget decided. */
    void onDecision(
            String service,
            RetryPolicy.Cause cause,
            SharedRetryBudget.Verdict verdict,
            SharedRetryBudget.Usage usage) {
        count(cause, verdict.name().toLowerCase(Locale.ROOT));
        if (usage.entries() != mEntries) {
            log("slack is divided anew", service, usage);
            mEntries = usage.entries();
        }
        if (verdict == SharedRetryBudget.Verdict.DENIED && isFirstDenial(service, usage.now())) {
            log("first repeat denied in a window", service, usage);
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

    private void log(String what, String service, SharedRetryBudget.Usage usage) {
        Logger.info(
                "{}: service {}, {} requests and {} repeats in the window, slack of {} divided by"
                        + " {} entries (was {}), process started {} ms ago",
                what,
                service,
                usage.requests(),
                usage.retries(),
                mSettings.retrySlack(),
                usage.entries(),
                mEntries,
                usage.now().minus(mStartedAt).toMillis());
    }
}
