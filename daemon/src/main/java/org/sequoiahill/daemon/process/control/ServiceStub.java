package org.sequoiahill.daemon.process.control;

import java.util.function.Function;
import org.apache.thrift.TServiceClient;
import org.apache.thrift.protocol.TProtocol;
import org.sequoiahill.protocol.gen.Claims;
import org.sequoiahill.protocol.gen.Configuration;
import org.sequoiahill.protocol.gen.Crashes;
import org.sequoiahill.protocol.gen.Directory;
import org.sequoiahill.protocol.gen.Fleet;
import org.sequoiahill.protocol.gen.Loads;
import org.sequoiahill.protocol.gen.Log;
import org.sequoiahill.protocol.gen.Pieces;
import org.sequoiahill.protocol.gen.Suspects;
import org.sequoiahill.protocol.gen.Turns;

/**
 * A Thrift service and the factory of its clients.
 *
 * @param name name under which servers offer the service
 * @param create creates a client on a protocol
 * @param <C> type of the client
 */
public record ServiceStub<C extends TServiceClient>(String name, Function<TProtocol, C> create) {
    /** Configuration: documents and changes. */
    public static final ServiceStub<Configuration.Client> CONFIGURATION =
            new ServiceStub<>("configuration", Configuration.Client::new);

    /** Directory: announcements and summaries. */
    public static final ServiceStub<Directory.Client> DIRECTORY =
            new ServiceStub<>("directory", Directory.Client::new);

    /** Leases for version swaps and for fetches from the origin. */
    public static final ServiceStub<Turns.Client> TURNS =
            new ServiceStub<>("turns", Turns.Client::new);

    /** Replicated log of the configuration, or of a fleet's state. */
    public static final ServiceStub<Log.Client> LOG_CONFIG =
            new ServiceStub<>("log-config", Log.Client::new);

    /** Replicated log of the claims. */
    public static final ServiceStub<Log.Client> LOG_CLAIMS =
            new ServiceStub<>("log-claims", Log.Client::new);

    /** Suspects that entries share for the quarantine. */
    public static final ServiceStub<Suspects.Client> SUSPECTS =
            new ServiceStub<>("suspects", Suspects.Client::new);

    /** Crashes of endpoints, which the entries of a fleet report to each other. */
    public static final ServiceStub<Crashes.Client> CRASHES =
            new ServiceStub<>("crashes", Crashes.Client::new);

    /** Claims of requests that may run at most once. */
    public static final ServiceStub<Claims.Client> CLAIMS =
            new ServiceStub<>("claims", Claims.Client::new);

    /** State of the fleet, and reports of endpoints and daemons. */
    public static final ServiceStub<Fleet.Client> FLEET =
            new ServiceStub<>("fleet", Fleet.Client::new);

    /** Pieces of weights that an agent holds. */
    public static final ServiceStub<Pieces.Client> PIECES =
            new ServiceStub<>("pieces", Pieces.Client::new);

    /** Loads of engines. */
    public static final ServiceStub<Loads.Client> LOADS =
            new ServiceStub<>("loads", Loads.Client::new);
}
