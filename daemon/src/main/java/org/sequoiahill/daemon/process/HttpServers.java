package org.sequoiahill.daemon.process;

import java.time.Duration;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sequoiahill.daemon.process.settings.HostPort;

/** Makes HTTP servers. */
final class HttpServers {
    private static final int MAX_THREADS = 32;
    private static final int MIN_THREADS = 2;
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(10);

    private HttpServers() {}

    /** Returns a server at an address, not yet started. */
    static Server create(String name, HostPort address, Handler handler) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName(name);
        Server server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        ServerConnector connector =
                new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        server.addConnector(connector);
        server.setHandler(handler);
        return server;
    }
}
