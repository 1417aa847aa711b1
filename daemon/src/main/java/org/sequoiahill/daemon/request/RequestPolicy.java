package org.sequoiahill.daemon.request;

import java.util.Locale;
import org.sequoiahill.daemon.request.gate.SlowStart;

/**
 * Which parts of the request path are at work; the bench turns some off to measure against.
 *
 * @param choice how an endpoint is chosen
 * @param hasSlowStart whether a started endpoint begins with one request
 * @param hasRetryBudget whether retries are bounded by a share of the traffic
 */
public record RequestPolicy(Choice choice, boolean hasSlowStart, boolean hasRetryBudget) {
    private static final String CHOICE = "sequoia.bench.choice";
    private static final String SLOW_START = "sequoia.bench.slowStart";
    private static final String RETRY_BUDGET = "sequoia.bench.retryBudget";
    private static final String OFF = "off";

    /** How an endpoint is chosen. */
    public enum Choice {
        /** Prefix affinity under a load bound, else the less loaded of two drawn at random. */
        TWO_CHOICES,
        /** One after the other. */
        ROUND_ROBIN,
        /** The one with the fewest requests of this entry. */
        LEAST_CONNECTIONS
    }

    /** Returns the policy that operators run. */
    public static RequestPolicy full() {
        return new RequestPolicy(Choice.TWO_CHOICES, true, true);
    }

    /** Returns the full policy less what system properties of the bench turn off. */
    public static RequestPolicy fromSystemProperties() {
        String choice = System.getProperty(CHOICE, Choice.TWO_CHOICES.name());
        return new RequestPolicy(
                Choice.valueOf(choice.toUpperCase(Locale.ROOT)),
                !OFF.equals(System.getProperty(SLOW_START)),
                !OFF.equals(System.getProperty(RETRY_BUDGET)));
    }

    /** Returns the limit of an endpoint that has just started. */
    public SlowStart limitOf(int capacity, SlowStart.WarmUp warmUp) {
        return hasSlowStart ? SlowStart.cold(capacity, warmUp) : SlowStart.disabled(capacity);
    }
}
