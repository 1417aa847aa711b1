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

/** Makes the HTTP client of a fleet's processes, which passes on what it gets as it came. */
public final class EndpointHttpClients {
    /**
     * Connections of one kind to one endpoint that an entry may have; endpoints bound their sum.
     */
    private static final int MAX_CONNECTIONS_PER_ENDPOINT = 48;

    private static final int MAX_QUEUED_PER_ENDPOINT = 256;

    /** Time for a connection; the next endpoint is tried after it. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /**
     * Idle time after which a connection to an endpoint is closed from here; in a fleet of hundreds
     * an entry comes back to an endpoint after seconds.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);

    /** The same for connections that are kept briefly. */
    private static final Duration SHORT_IDLE_TIMEOUT = Duration.ofSeconds(2);

    private static final int MAX_RESPONSE_HEADER_BYTES = 32 << 10;

    private EndpointHttpClients() {}

    /** Returns a client that is not started yet and runs on the given threads. */
    public static HttpClient create(QueuedThreadPool threads) {
        ResetAwareConnector connector = new ResetAwareConnector();
        connector.setSelectors(1);
        HttpClient client = new HttpClient(EndpointTransport.over(connector, SHORT_IDLE_TIMEOUT));
        client.setExecutor(threads);
        // After an answer that fails while its head is handled, Jetty 12.0.25 clears a buffer that
        // it has given back. From a pool it would be the buffer of another connection by then.
        client.setByteBufferPool(new ByteBufferPool.NonPooling());
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(false);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_ENDPOINT);
        client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_ENDPOINT);
        client.setMaxResponseHeadersSize(MAX_RESPONSE_HEADER_BYTES);
        client.setRequestBufferSize(MAX_RESPONSE_HEADER_BYTES);
        client.getContentDecoderFactories().clear();
        client.addEventListener(
                new LifeCycle.Listener() {
                    @Override
                    public void lifeCycleStarted(LifeCycle started) {
                        // The start adds handlers that answer redirects and challenges themselves.
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
