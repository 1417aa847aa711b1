package org.sequoiahill.daemon.process.endpoints;

import java.time.Duration;
import java.util.Map;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.EndpointState;

/**
 * What a daemon knows about one endpoint.
 *
 * @param id id that the endpoint chose for itself
 * @param startedAt start of the endpoint in Unix milliseconds; differs after each restart
 * @param sequence sequence number of the endpoint's latest report
 * @param service name of its service
 * @param address address at which it accepts requests
 * @param dataCentre data centre in which it runs
 * @param slots maximum number of concurrent requests
 * @param state whether it accepts requests, is leaving or has gone
 * @param coldUntil monotonic time at which its cold phase ends
 * @param versions loaded version of each model
 */
public record EndpointInfo(
        String id,
        long startedAt,
        long sequence,
        String service,
        HostPort address,
        String dataCentre,
        int slots,
        EndpointState state,
        Duration coldUntil,
        Map<String, Long> versions) {
    /** Copies the map. */
    public EndpointInfo {
        versions = Map.copyOf(versions);
    }

    /**
     * Returns the endpoint that a report describes.
     *
     * @param now monotonic time at which the report was received
     */
    static EndpointInfo of(EndpointReport report, Duration now) {
        return new EndpointInfo(
                report.getId(),
                report.getStartedAt(),
                report.getSequence(),
                report.getServiceName(),
                HostPort.parse(report.getAddress()),
                report.getDataCentre(),
                report.getSlots(),
                report.getState(),
                now.plusMillis(report.getColdMillis()),
                report.getVersions());
    }

    /** Returns whether the endpoint has not reported that it is leaving. */
    public boolean isReady() {
        return state == EndpointState.READY;
    }

    EndpointInfo withState(EndpointState newState) {
        if (newState == state) {
            return this;
        }
        return new EndpointInfo(
                id,
                startedAt,
                sequence,
                service,
                address,
                dataCentre,
                slots,
                newState,
                coldUntil,
                versions);
    }
}
