package org.sequoiahill.daemon.process.endpoints;

import java.time.Duration;
import java.util.Map;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.EndpointState;

/**
 * What an entry knows of one endpoint.
 *
 * @param id id that the endpoint gave itself
 * @param startedAt start of the endpoint in Unix milliseconds; tells one life from the next
 * @param sequence number of the endpoint's report
 * @param service name of its service
 * @param address where it takes requests
 * @param dataCentre where it runs
 * @param slots requests that it runs at once
 * @param state whether it takes requests
 * @param coldUntil monotonic time until which it is cold
 * @param versions version of each model that it has loaded
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
     * Returns what a report says.
     *
     * @param now monotonic time at which the report came
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

    /** Returns whether the endpoint has not said that it leaves. */
    public boolean isReady() {
        return state == EndpointState.READY;
    }

    EndpointInfo withState(EndpointState newState) {
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
