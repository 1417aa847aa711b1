package org.sequoiahill.daemon.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.RequestHeaders;

/** Tests of the servers and handlers that {@link HttpServers} creates. */
final class HttpServersTest {
    private static final String HOST = "127.0.0.1";
    private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration STOP_IDLE_TIMEOUT = Duration.ofSeconds(3);

    @Test
    void stop_requestArrivesOnAnOpenConnectionMeanwhile_isRefused() throws Exception {
        DrainHandler drain = new DrainHandler(new OkHandler());
        HostPort address = new HostPort(HOST, freePort());
        // On a busy machine the test may be slower than the server's usual timeouts.
        Server server = HttpServers.create("test", address, drain, STOP_TIMEOUT, STOP_IDLE_TIMEOUT);
        server.start();
        try (Socket socket = new Socket(HOST, address.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            assertThat(exchange(socket), startsWith("HTTP/1.1 200 "));

            drain.closeConnections();
            drain.refuseNewRequests().get(10, TimeUnit.SECONDS);
            CompletableFuture<Boolean> stopped = CompletableFuture.supplyAsync(() -> stop(server));
            awaitNoListener(address);
            String response = exchange(socket);

            assertThat(response, startsWith("HTTP/1.1 503 "));
            assertThat(response, containsString("Connection: close\r\n"));
            assertThat(stopped.get(10, TimeUnit.SECONDS), is(true));
        }
    }

    @Test
    void stop_connectionStaysIdle_succeeds() throws Exception {
        HostPort address = new HostPort(HOST, freePort());
        Server server = HttpServers.create("test", address, new DrainHandler(new OkHandler()));
        server.start();
        try (Socket socket = new Socket(HOST, address.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            assertThat(exchange(socket), startsWith("HTTP/1.1 200 "));
            assertThat(stop(server), is(true));
            assertThat(socket.getInputStream().read(), is(-1));
        }
    }

    @Test
    void trackingExchanges_exchangeHasStartedBefore_isNotRefusedAsNotRun() throws Exception {
        HostPort address = new HostPort(HOST, freePort());
        Handler tracking =
                HttpServers.trackingExchanges(
                        MonotonicClock.system(), request -> true, new OkHandler());
        Server server = HttpServers.create("test", address, tracking);
        server.start();
        try (Socket socket = new Socket(HOST, address.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            String request =
                    "GET /x HTTP/1.1\r\nHost: a\r\n" + RequestHeaders.REQUEST_ID + ": id-1\r\n\r\n";
            assertThat(exchange(socket, request), startsWith("HTTP/1.1 200 "));
            String second = exchange(socket, request);
            assertThat(second, startsWith("HTTP/1.1 502 "));
            assertThat(second, not(containsString(RequestHeaders.NOT_RUN)));
        } finally {
            stop(server);
        }
    }

    private static boolean stop(Server server) {
        try {
            server.stop();
            return server.isStopped();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a request and returns the head of the response, empty if there is none. */
    private static String exchange(Socket socket) throws IOException {
        return exchange(socket, REQUEST);
    }

    private static String exchange(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        StringBuilder head = new StringBuilder();
        int next = socket.getInputStream().read();
        while (next >= 0) {
            head.append((char) next);
            if (head.toString().endsWith("\r\n\r\n")) {
                return head.toString();
            }
            next = socket.getInputStream().read();
        }
        return "";
    }

    private static void awaitNoListener(HostPort address) throws IOException {
        while (true) {
            try (Socket probe = new Socket(HOST, address.port())) {
                Thread.onSpinWait();
            } catch (ConnectException e) {
                return;
            } catch (SocketException e) {
                // A connect that meets the close of the listener is reset; the next is refused.
                Thread.onSpinWait();
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    /** Responds to each request with 200 and no body. */
    private static final class OkHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            response.setStatus(200);
            callback.succeeded();
            return true;
        }
    }
}
