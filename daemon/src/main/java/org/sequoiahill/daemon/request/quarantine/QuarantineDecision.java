package org.sequoiahill.daemon.request.quarantine;

import java.time.Duration;

/**
 * Decision on a request.
 *
 * @param verdict whether the request may be sent to endpoints
 * @param trait trait under quarantine, empty if there is none
 * @param retryAfter if the request is refused, time until a probe may be admitted
 */
public record QuarantineDecision(Verdict verdict, String trait, Duration retryAfter) {
    /** Decision on a request without a trait under quarantine. */
    public static final QuarantineDecision ADMITTED =
            new QuarantineDecision(Verdict.ADMITTED, "", Duration.ZERO);

    /** Whether a request may be sent to endpoints. */
    public enum Verdict {
        /** No trait of the request is under quarantine. */
        ADMITTED,
        /** The request tests whether a trait still crashes endpoints; it must not be retried. */
        PROBE,
        /** A trait of the request is under quarantine. */
        REFUSED
    }

    /** Returns whether the request is refused. */
    public boolean isRefused() {
        return verdict == Verdict.REFUSED;
    }

    /** Returns whether the request is a probe. */
    public boolean isProbe() {
        return verdict == Verdict.PROBE;
    }
}
