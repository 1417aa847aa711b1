package org.sequoiahill.bench.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiahill.bench.processes.Await;
import org.sequoiahill.bench.relay.Relay;
import org.sequoiahill.daemon.connection.BodyReader;
import org.sequoiahill.daemon.connection.ExchangeMonitor;
import org.sequoiahill.daemon.connection.ExchangeTable;
import org.sequoiahill.daemon.connection.ExchangeTrackingHandler;
import org.sequoiahill.daemon.connection.HttpExchangeStatusClient;
import org.sequoiahill.daemon.connection.LivenessTracker;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.Refusal;
import org.sequoiahill.daemon.request.RequestHeaders;

class SilentConnectionTest {
    private static final InetSocketAddress SERVER = new InetSocketAddress("127.24.7.1", 7002);
    private static final InetSocketAddress RELAY = new InetSocketAddress("127.24.7.2", 7002);
    private static final int MAX_BODY_BYTES = 1_000;

    /** Difference between the monotonic clocks of server and client, as on two VMs. */
    private static final Duration SERVER_CLOCK_OFFSET = Duration.ofMinutes(1);

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(50);

    private final ScheduledExecutorService mScheduler = Executors.newScheduledThreadPool(2);
    private final HttpClient mClient = new HttpClient();
    private final HttpClient mStatusClient = new HttpClient();
    private final AtomicInteger mRuns = new AtomicInteger();
    private final Server mServer = new Server();
    private final ExchangeMonitor mMonitor =
            ExchangeMonitor.of(
                    new LivenessTracker.Limits(Duration.ofMillis(500), 3),
                    MonotonicClock.system(),
                    HttpExchangeStatusClient.of(mStatusClient, RequestHeaders.REQUEST_ID),
                    new SimpleMeterRegistry());
    private Relay mRelay;
    private volatile Duration mServerClockOffset = Duration.ZERO;

    @BeforeEach
    void start() throws Exception {
        ServerConnector connector = new ServerConnector(mServer, 1, 1);
        connector.setHost(SERVER.getHostString());
        connector.setPort(SERVER.getPort());
        mServer.addConnector(connector);
        mServer.setHandler(
                ExchangeTrackingHandler.around(
                        RequestHeaders.REQUEST_ID,
                        request -> true,
                        ExchangeTable.of(this::serverClock, 100),
                        (isBarred, response, callback) ->
                                Refusal.unavailable("barred", "given up").write(response, callback),
                        new SlowHandler()));
        mServerClockOffset = SERVER_CLOCK_OFFSET;
        mServer.start();
        mRelay = Relay.start(RELAY, SERVER);
        mClient.start();
        mStatusClient.start();
        mMonitor.start(mScheduler);
    }

    @AfterEach
    void stop() throws Exception {
        mRelay.close();
        mClient.stop();
        mStatusClient.stop();
        mServer.stop();
        mScheduler.shutdownNow();
    }

    @Test
    void send_onSilentConnection_notRunAndNewConnectionServes() {
        assertThat(send("1", 0).join(), equalTo("run 1"));
        mRelay.silenceOpenConnections();

        assertThat(send("2", 0).join(), equalTo("not run"));
        assertThat(send("3", 0).join(), equalTo("run 2"));
        assertThat(mRuns.get(), is(2));
    }

    @Test
    void send_slowResponseOnLiveConnection_notAborted() {
        assertThat(send("1", 3_000).join(), equalTo("run 1"));
    }

    @Test
    void send_connectionFallsSilentWhileRunning_outcomeUnknownAndOtherConnectionUnaffected() {
        CompletableFuture<String> lost = send("1", 2_000);
        Await.until("the first run", CALL_TIMEOUT, () -> mRuns.get() == 1);
        mRelay.silenceOpenConnections();
        CompletableFuture<String> other = send("2", 3_000);

        assertThat(lost.join(), equalTo("unknown"));
        assertThat(other.join(), equalTo("run 2"));
    }

    private Duration serverClock() {
        return MonotonicClock.system().now().plus(mServerClockOffset);
    }

    private CompletableFuture<String> send(String id, long delayMillis) {
        CompletableFuture<String> result = new CompletableFuture<>();
        String address = RELAY.getHostString() + ":" + RELAY.getPort();
        HttpForwarder.Call call =
                HttpForwarder.Call.of(
                        "POST",
                        URI.create("http://" + address + "/slow?" + delayMillis),
                        HttpFields.build().put(RequestHeaders.REQUEST_ID, id),
                        ByteBuffer.allocate(0),
                        CALL_TIMEOUT);
        ExchangeMonitor.MonitoredExchange exchange = mMonitor.monitor(id, address);
        exchange.abortWith(
                HttpForwarder.over(mClient).send(call, new Listener(exchange, result))::abort);
        return result;
    }

    private record Listener(
            ExchangeMonitor.MonitoredExchange exchange, CompletableFuture<String> result)
            implements HttpForwarder.Listener {
        @Override
        public void onResponse(Response response, Content.Source content) {
            BodyReader.read(exchange.monitorContent(content), MAX_BODY_BYTES)
                    .whenComplete(
                            (body, failure) ->
                                    result.complete(
                                            failure == null
                                                    ? new String(body, StandardCharsets.UTF_8)
                                                    : "cut"));
        }

        @Override
        public void onFailure(Throwable failure, boolean isNotRun) {
            exchange.end();
            result.complete(isNotRun ? "not run" : "unknown");
        }
    }

    /** Counts a run immediately and responds after the milliseconds given in the query. */
    private final class SlowHandler extends Handler.Abstract {
        @Override
        public boolean handle(
                Request request, org.eclipse.jetty.server.Response response, Callback callback) {
            byte[] body = ("run " + mRuns.incrementAndGet()).getBytes(StandardCharsets.UTF_8);
            mScheduler.schedule(
                    () -> response.write(true, ByteBuffer.wrap(body), callback),
                    Long.parseLong(request.getHttpURI().getQuery()),
                    TimeUnit.MILLISECONDS);
            return true;
        }
    }
}
