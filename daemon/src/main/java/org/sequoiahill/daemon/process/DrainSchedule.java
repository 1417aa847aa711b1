package org.sequoiahill.daemon.process;

import java.time.Duration;

/**
 * Times of an entry's drain, since the signal to stop.
 *
 * @param probeGrace when new requests are refused
 * @param end when unfinished requests are ended
 */
record DrainSchedule(Duration probeGrace, Duration end) {
    /** Time within which a load balancer that probes every second notices that an entry leaves. */
    private static final Duration MAX_PROBE_GRACE = Duration.ofMillis(2_500);

    /** Largest fraction of the drain timeout in which new requests are served. */
    private static final double PROBE_GRACE_FRACTION = 1.0 / 3;

    /** Longest part of the drain timeout that is reserved for final responses and the exit. */
    private static final Duration MAX_END_MARGIN = Duration.ofMillis(900);

    /** Largest fraction of the drain timeout that is reserved for final responses and the exit. */
    private static final double END_FRACTION = 1.0 / 8;

    /** Returns the schedule of a process that is killed after {@code drainTimeout}. */
    static DrainSchedule of(Duration drainTimeout) {
        Duration endMargin = min(MAX_END_MARGIN, fractionOf(drainTimeout, END_FRACTION));
        return new DrainSchedule(
                min(MAX_PROBE_GRACE, fractionOf(drainTimeout, PROBE_GRACE_FRACTION)),
                drainTimeout.minus(endMargin));
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    private static Duration fractionOf(Duration time, double fraction) {
        return Duration.ofMillis((long) (time.toMillis() * fraction));
    }
}
