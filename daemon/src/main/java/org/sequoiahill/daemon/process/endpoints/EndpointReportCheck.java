package org.sequoiahill.daemon.process.endpoints;

import java.time.Duration;
import java.util.Optional;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.EndpointReport;

/** Checks whether the values of an endpoint's report are possible. */
public final class EndpointReportCheck {
    private static final int MAX_SLOTS = 1 << 16;
    private static final Duration MAX_COLD_TIME = Duration.ofDays(1);

    /** Largest integer that every JSON writer represents exactly. */
    private static final long MAX_INTEGER = (1L << 53) - 1;

    private EndpointReportCheck() {}

    /**
     * Returns the first fault of a report that is not about a gone endpoint, empty if there is
     * none.
     */
    public static Optional<String> faultOf(EndpointReport report) {
        if (!HostPort.isIpv4WithPort(report.getAddress())) {
            return Optional.of("the address must be an IPv4 address and a port");
        }
        if (report.getSlots() < 0 || report.getSlots() > MAX_SLOTS) {
            return Optional.of("the number of slots must be from 0 to " + MAX_SLOTS);
        }
        if (report.getColdMillis() < 0 || report.getColdMillis() > MAX_COLD_TIME.toMillis()) {
            return Optional.of(
                    "the cold time must be from 0 to " + MAX_COLD_TIME.toMillis() + " ms");
        }
        boolean areCountsPossible =
                isPossible(report.getStartedAt())
                        && isPossible(report.getSequence())
                        && report.getVersions().values().stream()
                                .allMatch(EndpointReportCheck::isPossible);
        return areCountsPossible
                ? Optional.empty()
                : Optional.of("start, sequence and versions must be from 0 to " + MAX_INTEGER);
    }

    /** Returns whether a start, sequence number or version is possible. */
    public static boolean isPossible(long value) {
        return value >= 0 && value <= MAX_INTEGER;
    }
}
