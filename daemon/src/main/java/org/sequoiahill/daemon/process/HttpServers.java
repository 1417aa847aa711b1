package org.sequoiahill.daemon.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.ExchangeTable;
import org.sequoiahill.daemon.connection.ExchangeTrackingHandler;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.Refusal;
import org.sequoiahill.daemon.request.RequestHeaders;

/** Creates HTTP servers. */
final class HttpServers {
    private static final int SEND_BUFFER_BYTES = 64 << 10;
    private static final int MAX_PAST_EXCHANGES = 50_000;
    private static final int MAX_THREADS = 32;
    private static final int MIN_THREADS = 2;

    /**
     * Longest time for which a stopped server that no longer accepts connections still reads those
     * that are open, so that a request that is on its way gets a response.
     */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(1);

    /** Idle time after which a stopped server closes a connection. */
    private static final Duration STOP_IDLE_TIMEOUT = Duration.ofMillis(250);

    private static final Duration CLOSE_CHECK_INTERVAL = Duration.ofMillis(20);

    /** Idle time after which a server for one address closes a connection. */
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(10);

    /** Largest header section of a request or response, in bytes; callers send up to 16 KiB. */
    private static final int MAX_HEADER_BYTES = 32 << 10;

    /** Maximum number of connections that wait to be accepted while the process is busy. */
    private static final int ACCEPT_QUEUE = 256;

    /**
     * Idle time after which a server for several addresses closes a connection; longer than callers
     * keep one idle.
     */
    private static final Duration MULTI_ADDRESS_IDLE_TIMEOUT = Duration.ofSeconds(30);

    private HttpServers() {}

    /**
     * Returns a handler that tracks the requests of peers: it echoes their ids, responds to queries
     * about their status, and refuses a request that a query has barred.
     *
     * @param clock monotonic clock
     * @param isFromPeer whether a request comes from another process of the system
     * @param handler handler of the requests
     */
    static Handler trackingExchanges(
            MonotonicClock clock, Predicate<Request> isFromPeer, Handler handler) {
        return ExchangeTrackingHandler.around(
                RequestHeaders.REQUEST_ID,
                isFromPeer,
                ExchangeTable.of(clock, MAX_PAST_EXCHANGES),
                (isBarred, response, callback) ->
                        refusalOfExchange(isBarred).write(response, callback),
                handler);
    }

    private static Refusal refusalOfExchange(boolean isBarred) {
        return isBarred
                ? Refusal.unavailable("exchange_barred", "the exchange was abandoned")
                : Refusal.outcomeUnknown("the exchange has started before");
    }

    /**
     * One address of a server for several addresses.
     *
     * @param name name by which handlers distinguish the addresses
     */
    record Listener(String name, HostPort address) {}

    /**
     * Returns a server for several addresses, not yet started.
     *
     * @param threads thread pool of the process
     */
    static Server createForAddresses(
            QueuedThreadPool threads, List<Listener> listeners, Handler handler) {
        Server server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        configuration.setRequestHeaderSize(MAX_HEADER_BYTES);
        configuration.setResponseHeaderSize(MAX_HEADER_BYTES);
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        for (Listener listener : listeners) {
            ServerConnector connector =
                    new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
            connector.setName(listener.name());
            connector.setHost(listener.address().host());
            connector.setPort(listener.address().port());
            connector.setAcceptQueueSize(ACCEPT_QUEUE);
            connector.setIdleTimeout(MULTI_ADDRESS_IDLE_TIMEOUT.toMillis());
            connector.setShutdownIdleTimeout(STOP_IDLE_TIMEOUT.toMillis());
            server.addConnector(connector);
        }
        server.setHandler(handler);
        return server;
    }

    /**
     * Closes the listeners of a server, and each connection once it has been idle for {@link
     * #STOP_IDLE_TIMEOUT}; requests that arrive until then are handled. Returns once no connection
     * is open or the timeout has elapsed. No response may be in progress, as one that makes no
     * progress for that idle time is aborted.
     */
    static void closeConnections(Server server, Duration timeout, MonotonicClock clock)
            throws InterruptedException {
        Duration end = clock.now().plus(timeout);
        // A connection with unread bytes must not be found idle because its selector is late.
        awaitSelectors(server, timeout);
        for (ServerConnector connector : server.getBeans(ServerConnector.class)) {
            // Applies to a connection whose accept is not complete yet.
            connector.setIdleTimeout(connector.getShutdownIdleTimeout());
            var unused = connector.shutdown();
        }
        // A connection that was just accepted is not counted until its selector has registered it.
        awaitSelectors(server, end.minus(clock.now()));
        do {
            TimeUnit.NANOSECONDS.sleep(CLOSE_CHECK_INTERVAL.toNanos());
        } while (openConnections(server) > 0 && clock.now().compareTo(end) < 0);
    }

    /** Waits until each selector of a server has processed what was submitted to it. */
    private static void awaitSelectors(Server server, Duration timeout) {
        List<CompletableFuture<?>> processed = new ArrayList<>();
        for (ServerConnector connector : server.getBeans(ServerConnector.class)) {
            for (ManagedSelector selector :
                    connector.getSelectorManager().getBeans(ManagedSelector.class)) {
                CompletableFuture<@Nullable Void> done = new CompletableFuture<>();
                selector.submit(ignored -> done.complete(null));
                processed.add(done);
            }
        }
        CompletableFuture.allOf(processed.toArray(new CompletableFuture<?>[0]))
                .completeOnTimeout(null, Math.max(0, timeout.toMillis()), TimeUnit.MILLISECONDS)
                .join();
    }

    /** Returns the number of connections that a server has accepted and not closed. */
    static int openConnections(Server server) {
        int count = 0;
        for (Connector connector : server.getConnectors()) {
            count += connector.getConnectedEndPoints().size();
        }
        return count;
    }

    /** Returns the name of the address at which a request arrived. */
    static String listenerOf(Request request) {
        return String.valueOf(request.getConnectionMetaData().getConnector().getName());
    }

    /**
     * Returns a server for one address, not yet started. Once stopped, it responds to requests on
     * open connections until they are idle, for {@link #STOP_TIMEOUT} at most.
     */
    static Server create(String name, HostPort address, Handler handler) {
        return create(name, address, handler, STOP_TIMEOUT, STOP_IDLE_TIMEOUT);
    }

    /**
     * Returns a server for one address, not yet started.
     *
     * @param stopTimeout longest time for which it reads open connections once stopped
     * @param stopIdleTimeout idle time after which it closes a connection once stopped
     */
    static Server create(
            String name,
            HostPort address,
            Handler handler,
            Duration stopTimeout,
            Duration stopIdleTimeout) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName(name);
        Server server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        ServerConnector connector =
                new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setAcceptedSendBufferSize(SEND_BUFFER_BYTES);
        connector.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        connector.setShutdownIdleTimeout(stopIdleTimeout.toMillis());
        server.setStopTimeout(stopTimeout.toMillis());
        server.addConnector(connector);
        server.setHandler(handler);
        return server;
    }
}
