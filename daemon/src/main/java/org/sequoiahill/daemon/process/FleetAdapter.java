package org.sequoiahill.daemon.process;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.fleet.EndpointReportReceiver;
import org.sequoiahill.daemon.process.fleet.FleetStore;
import org.sequoiahill.daemon.process.fleet.RoutingTableFormat;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.request.direct.HeaderCodec;
import org.sequoiahill.daemon.version.staging.StagingEngine;
import org.sequoiahill.daemon.version.staging.WeightsOrigin;

/** Names, formats and calls of the platform that a fleet runs on; contains no decision logic. */
public interface FleetAdapter {
    /** Returns the format in which operators write routing tables. */
    RoutingTableFormat routingTableFormat();

    /** Returns the codec for the headers of callers and endpoints. */
    HeaderCodec headerCodec();

    /** Returns the path of an entry's readiness check. */
    String readyPath();

    /**
     * Returns the handler that serves operators and endpoints at a store.
     *
     * @param knownDataCentres data centres that operators may name
     */
    Handler storeHandler(
            FleetStore store, EndpointReportReceiver reports, Iterable<String> knownDataCentres);

    /** Returns a client of the engine beside an agent. */
    StagingEngine stagingEngine(HttpClient client, HostPort address);

    /** Returns a client of the origin of weights. */
    WeightsOrigin weightsOrigin(HttpClient client);
}
