package org.sequoiahill.daemon.connection;

import java.time.Duration;
import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.ProtocolHandlers;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates HTTP clients that return responses unmodified: no redirects, cookies or decoding. */
public final class EndpointHttpClients {
    /** Idle timeout of connections with {@link ConnectionKind#hasShortIdleTimeout}. */
    private static final Duration SHORT_IDLE_TIMEOUT = Duration.ofSeconds(2);

    private static final int MAX_HEADER_BYTES = 32 << 10;

    /** Room for the headers that this system adds to those of a caller. */
    private static final int ADDED_HEADER_BYTES = 8 << 10;

    private EndpointHttpClients() {}

    /**
     * Limits of a client.
     *
     * @param maxConnections maximum number of connections of one kind to one endpoint
     * @param maxQueued maximum number of requests that wait for a connection to one endpoint
     * @param connectTimeout timeout for establishing a connection
     * @param idleTimeout idle time after which the client closes a connection
     */
    public record Limits(
            int maxConnections, int maxQueued, Duration connectTimeout, Duration idleTimeout) {
        /**
         * Returns the limits for endpoints that limit the total number of their connections, in a
         * fleet of hundreds. There, several seconds pass until an entry sends to the same endpoint
         * again, and another endpoint may be tried soon if one doesn't accept a connection.
         */
        public static Limits forFleet() {
            return new Limits(48, 256, Duration.ofMillis(400), Duration.ofSeconds(10));
        }
    }

    /** Returns a new client that uses the given threads; the caller must start it. */
    public static HttpClient create(QueuedThreadPool threads, Limits limits) {
        ResetAwareConnector connector = new ResetAwareConnector();
        connector.setSelectors(1);
        HttpClient client = new HttpClient(EndpointTransport.over(connector, SHORT_IDLE_TIMEOUT));
        client.setExecutor(threads);
        // If a response fails while its headers are processed, Jetty 12.0.25 clears a buffer that
        // it has already released. A pool might have passed that buffer to another connection.
        client.setByteBufferPool(new ByteBufferPool.NonPooling());
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(false);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setConnectTimeout(limits.connectTimeout().toMillis());
        client.setIdleTimeout(limits.idleTimeout().toMillis());
        client.setMaxConnectionsPerDestination(limits.maxConnections());
        client.setMaxRequestsQueuedPerDestination(limits.maxQueued());
        client.setMaxResponseHeadersSize(MAX_HEADER_BYTES);
        client.setMaxRequestHeadersSize(MAX_HEADER_BYTES + ADDED_HEADER_BYTES);
        client.setRequestBufferSize(MAX_HEADER_BYTES);
        client.getContentDecoderFactories().clear();
        client.addEventListener(
                new LifeCycle.Listener() {
                    @Override
                    public void lifeCycleStarted(LifeCycle started) {
                        // Starting the client adds handlers that follow redirects and respond to
                        // authentication challenges.
                        ProtocolHandlers handlers = client.getProtocolHandlers();
                        handlers.clear();
                        handlers.put(new ContinueProtocolHandler());
                        handlers.put(new ProcessingProtocolHandler());
                        handlers.put(new EarlyHintsProtocolHandler());
                    }
                });
        return client;
    }
}
