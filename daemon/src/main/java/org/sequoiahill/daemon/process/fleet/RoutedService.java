package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.Optional;
import org.sequoiahill.daemon.process.settings.HostPort;

/**
 * A service that requests are routed to.
 *
 * @param name name of the service
 * @param maxConnections connections that one endpoint takes from all callers
 * @param coldTime time that an endpoint stays cold after its start
 * @param coldRate requests a second that a cold endpoint bears, 0 where there is no bound
 * @param origin where the service is an origin of weights, its address
 * @param engine where the endpoints are model engines, what is known of them
 */
public record RoutedService(
        String name,
        int maxConnections,
        Duration coldTime,
        double coldRate,
        Optional<HostPort> origin,
        Optional<EngineProfile> engine) {}
