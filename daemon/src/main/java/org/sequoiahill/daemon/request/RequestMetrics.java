package org.sequoiahill.daemon.request;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import org.sequoiahill.daemon.request.retry.RetryDecision;

/** Counts what becomes of an entry's requests. */
public final class RequestMetrics {
    private final MeterRegistry mRegistry;

    private RequestMetrics(MeterRegistry registry) {
        mRegistry = registry;
    }

    /** Returns metrics on a registry. */
    public static RequestMetrics on(MeterRegistry registry) {
        return new RequestMetrics(registry);
    }

    /** Notes an answer that has ended, whole or cut. */
    void answered(RoutedRequest request, Attempt attempt, Duration time) {
        mRegistry
                .timer(
                        "sequoia.request.answered",
                        "service",
                        request.service().service(),
                        "where",
                        attempt.isRemote() ? "elsewhere" : "here")
                .record(time);
    }

    /** Notes a refusal. */
    void refused(RoutedRequest request, Refusal refusal) {
        mRegistry
                .counter(
                        "sequoia.request.refused",
                        "service",
                        request.service().service(),
                        "priority",
                        request.route().priority().name(),
                        "code",
                        refusal.code())
                .increment();
    }

    /** Notes what followed from an attempt that was not answered. */
    void retryDecided(RetryDecision decision) {
        mRegistry.counter("sequoia.request.unanswered", "decision", decision.name()).increment();
    }
}
