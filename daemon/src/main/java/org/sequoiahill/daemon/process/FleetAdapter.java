package org.sequoiahill.daemon.process;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.fleet.EndpointReportReceiver;
import org.sequoiahill.daemon.process.fleet.FleetStore;
import org.sequoiahill.daemon.process.fleet.RoutingTableFormat;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.request.direct.CallerDialect;
import org.sequoiahill.daemon.version.staging.StagingEngine;
import org.sequoiahill.daemon.version.staging.WeightsOrigin;

/** Names, formats and calls of the platform that a fleet runs on; decides nothing. */
public interface FleetAdapter {
    /** Returns how operators write routing tables. */
    RoutingTableFormat routingTableFormat();

    /** Returns how callers and endpoints name their headers. */
    CallerDialect headerCodec();

    /** Returns the path at which an entry is asked whether it takes callers. */
    String readyPath();

    /**
     * Returns the handler of operators and endpoints at a store.
     *
     * @param knownDataCentres data centres that operators may name
     */
    Handler storeHandler(
            FleetStore store, EndpointReportReceiver reports, Iterable<String> knownDataCentres);

    /** Returns the calls of an engine beside an agent. */
    StagingEngine stagingEngine(HttpClient client, HostPort address);

    /** Returns the calls of the origin of weights. */
    WeightsOrigin weightsOrigin(HttpClient client);
}
