package org.sequoiahill.daemon.request;

import java.util.Locale;
import org.sequoiahill.daemon.request.gate.SlowStart;

/**
 * Features of the request path that are enabled; benchmarks disable some for comparison.
 *
 * @param choice how an endpoint is chosen
 * @param hasSlowStart whether the limit of a started endpoint begins at one request
 * @param hasRetryBudget whether retries are limited to a share of the traffic
 */
public record RequestPolicy(Choice choice, boolean hasSlowStart, boolean hasRetryBudget) {
    private static final String CHOICE = "sequoia.bench.choice";
    private static final String SLOW_START = "sequoia.bench.slowStart";
    private static final String RETRY_BUDGET = "sequoia.bench.retryBudget";
    private static final String OFF = "off";

    /** How an endpoint is chosen. */
    public enum Choice {
        /**
         * Prefix affinity within a load bound, otherwise the less loaded of two random endpoints.
         */
        TWO_CHOICES,
        /** Each endpoint in turn. */
        ROUND_ROBIN,
        /** The endpoint with the fewest requests from this entry. */
        LEAST_CONNECTIONS
    }

    /** Returns the policy for production, with all features enabled. */
    public static RequestPolicy full() {
        return new RequestPolicy(Choice.TWO_CHOICES, true, true);
    }

    /**
     * Returns the full policy, with the choice that a system property names, if any, and without
     * the features that system properties disable.
     */
    public static RequestPolicy fromSystemProperties() {
        String choice = System.getProperty(CHOICE, Choice.TWO_CHOICES.name());
        return new RequestPolicy(
                Choice.valueOf(choice.toUpperCase(Locale.ROOT)),
                !OFF.equals(System.getProperty(SLOW_START)),
                !OFF.equals(System.getProperty(RETRY_BUDGET)));
    }

    /**
     * Returns the concurrency limit of an endpoint that has just started, which adapts unless slow
     * start is disabled.
     */
    public SlowStart limitOf(int capacity, SlowStart.WarmUp warmUp) {
        return hasSlowStart ? SlowStart.cold(capacity, warmUp) : SlowStart.disabled(capacity);
    }
}
