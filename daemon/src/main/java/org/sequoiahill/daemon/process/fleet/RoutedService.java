package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.Optional;
import org.sequoiahill.daemon.process.settings.HostPort;

/**
 * A service that requests are routed to.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections to one endpoint, from all callers together
 * @param coldTime time for which an endpoint is cold after its start
 * @param coldRate maximum requests per second for a cold endpoint, 0 for no limit
 * @param origin address of the origin, if the service is an origin of weights
 * @param engine capacity and speed of the endpoints, if they are model engines
 */
public record RoutedService(
        String name,
        int maxConnections,
        Duration coldTime,
        double coldRate,
        Optional<HostPort> origin,
        Optional<EngineProfile> engine) {}
