package org.sequoiahill.daemon.request;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import org.sequoiahill.daemon.request.retry.RetryDecision;

/** Metrics of an entry's requests. */
public final class RequestMetrics {
    private final MeterRegistry mRegistry;

    private RequestMetrics(MeterRegistry registry) {
        mRegistry = registry;
    }

    /** Returns metrics that are recorded in {@code registry}. */
    public static RequestMetrics on(MeterRegistry registry) {
        return new RequestMetrics(registry);
    }

    /** Records a response that has ended, complete or not. */
    void responseEnded(RoutedRequest request, Attempt attempt, Duration time) {
        mRegistry
                .timer(
                        "sequoia.request.answered",
                        "service",
                        request.service().service(),
                        "where",
                        attempt.isRemote() ? "elsewhere" : "here")
                .record(time);
    }

    /** Records a refusal. */
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

    /** Records the decision after an attempt without a response. */
    void retryDecided(RetryDecision decision) {
        mRegistry.counter("sequoia.request.unanswered", "decision", decision.name()).increment();
    }
}
