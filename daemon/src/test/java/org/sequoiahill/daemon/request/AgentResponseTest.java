package org.sequoiahill.daemon.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahill.daemon.connection.EndpointHttpClients;
import org.sequoiahill.daemon.connection.ExchangeTable;
import org.sequoiahill.daemon.connection.ExchangeTrackingHandler;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.settings.DaemonSettings.AgentSettings;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.gate.SlowStart;
import org.sequoiahill.daemon.request.once.AttemptNumberGenerator;
import org.sequoiahill.daemon.request.once.AttemptRecordingHooks;
import org.sequoiahill.daemon.request.once.AttemptTable;
import org.sequoiahill.daemon.request.once.AttemptTicket;

/**
 * Tests what an entry receives from {@link AgentHandler} if the endpoint's response is truncated.
 */
final class AgentResponseTest {
    private static final long INCARNATION = 7;
    private static final int MAX_RECORDS = 100;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final InstantSource CLOCK =
            InstantSource.fixed(Instant.ofEpochMilli(1_000_000_000L));
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String WEIGHTS = "ab".repeat(32);

    private final HttpClient mClient =
            EndpointHttpClients.create(
                    new QueuedThreadPool(), EndpointHttpClients.Limits.forFleet());
    private final Server mAgent = new Server();
    private final ServerConnector mConnector = new ServerConnector(mAgent, 1, 1);
    private ServerSocket mEndpoint;

    @BeforeEach
    void start() throws Exception {
        mEndpoint = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        mClient.start();
        MonotonicClock clock = MonotonicClock.system();
        Identity identity = Identity.of("agent-1", "ma-a", INCARNATION);
        EndpointGate gate =
                EndpointGate.closed(clock, 1 << 20, SlowStart.cold(8, SlowStart.WarmUp.none()));
        gate.open(WEIGHTS);
        URI engine = URI.create("http://127.0.0.1:" + mEndpoint.getLocalPort());
        AgentSettings settings =
                new AgentSettings(
                        "writer",
                        engine,
                        engine,
                        8,
                        SlowStart.WarmUp.none(),
                        1 << 20,
                        false,
                        1 << 20,
                        1 << 20);
        AttemptTable attempts = AttemptTable.of(INCARNATION, CLOCK, MAX_RECORDS, 1 << 20);
        mConnector.setHost("127.0.0.1");
        mAgent.addConnector(mConnector);
        mAgent.setHandler(
                ExchangeTrackingHandler.around(
                        RequestHeaders.REQUEST_ID,
                        request -> true,
                        ExchangeTable.of(clock, MAX_RECORDS),
                        (isBarred, response, callback) -> {},
                        AgentHandler.of(
                                identity,
                                settings,
                                ConfigurationView.of(identity),
                                gate,
                                HttpForwarder.over(mClient),
                                AttemptRecordingHooks.over(attempts))));
        mAgent.start();
    }

    @AfterEach
    void stop() throws Exception {
        mAgent.stop();
        mClient.stop();
        mEndpoint.close();
    }

    @ParameterizedTest
    @CsvSource({
        // framing and body of the endpoint's response, Connection header of the entry's request
        "Content-Length: 50, hel, keep-alive",
        "Content-Length: 50, hel, close",
        "Transfer-Encoding: chunked, 3;hel;, keep-alive",
        "Transfer-Encoding: chunked, 3;hel;, close",
        "Content-Type: text/event-stream, data: a;;da, keep-alive",
        "Content-Type: text/event-stream, data: a;;da, close",
        "Content-Type: text/event-stream;Content-Length: 15, data: a;;data: b, keep-alive"
    })
    void response_truncatedAfterItsFirstBytes_isNotTerminated(
            String framing, String body, String connection) throws Exception {
        respondOnce(framing, body);
        String response = call("Connection: " + connection);
        assertThat(response, startsWith("HTTP/1.1 200 OK\r\n"));
        assertThat(response, containsString("Transfer-Encoding: chunked\r\n"));
        assertThat(response, not(endsWith(LAST_CHUNK)));
    }

    @ParameterizedTest
    @CsvSource({
        // whether the request is claimed, framing and body of the endpoint's response
        "false, Content-Length: 50, ''",
        "false, Transfer-Encoding: chunked, ''",
        "true, Content-Length: 50, ''",
        "true, Content-Length: 50, hel",
        "true, Transfer-Encoding: chunked, 3;hel;"
    })
    void response_truncatedBeforeItWasCommitted_isRefusedWithoutTheEndpointsHeaders(
            boolean isClaimed, String framing, String body) throws Exception {
        respondOnce(framing, body);
        String response = call(isClaimed ? AttemptTicket.HEADER + ": " + ticket() : "X-Unused: 1");
        assertThat(response, startsWith("HTTP/1.1 502 Bad Gateway\r\n"));
        assertThat(response, containsString(RequestHeaders.REQUEST_ID + ": id-1\r\n"));
        assertThat(response, containsString(RequestHeaders.OUTCOME_UNKNOWN + ": "));
        assertThat(response, not(containsString(RequestHeaders.WEIGHTS)));
        assertThat(response, not(containsString("X-Of-Endpoint")));
    }

    @ParameterizedTest
    @CsvSource({
        // whether the endpoint returns the request's id, whether its first response is sent again
        // right after it or before the next response; whether the second request may fail
        "false, true, false",
        "true, true, false",
        "true, false, true"
    })
    void response_firstOneIsSentAgain_isNotTheResponseOfTheSecondRequest(
            boolean hasId, boolean isAtOnce, boolean mayFail) throws Exception {
        respondTwice(hasId, isAtOnce);
        assertThat(call("X-Unused: 1", "id-1"), containsString("body of 1"));
        String second = call("X-Unused: 1", "id-2");
        assertThat(second, not(containsString("body of 1")));
        if (!mayFail || !second.startsWith("HTTP/1.1 502 ")) {
            assertThat(second, startsWith("HTTP/1.1 200 OK\r\n"));
            assertThat(second, containsString("body of 2"));
        }
    }

    /** Guards against statuses that HTTP does not define, which callers took for responses. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "101", "600", "999"})
    void response_statusIsNotDefined_isNotPassedOn(String status) throws Exception {
        respondOnce(status + " OK", "Content-Length: 3", "hel");
        String response = call("X-Unused: 1");
        assertThat(response, startsWith("HTTP/1.1 502 Bad Gateway\r\n"));
        assertThat(response, containsString(RequestHeaders.OUTCOME_UNKNOWN + ": "));
        assertThat(response, not(containsString("X-Of-Endpoint")));
    }

    /** Sends a request as an entry does and returns all bytes of the response. */
    private String call(String header) throws IOException {
        return call(header, "id-1");
    }

    private String call(String header, String id) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mConnector.getLocalPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            String request =
                    "POST /services/writer/x HTTP/1.1\r\nHost: a\r\n"
                            + "Sequoia-Request-Id: "
                            + id
                            + "\r\nContent-Length: 0\r\n"
                            + header
                            + "\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.shutdownOutput();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static AttemptTicket ticket() {
        long attempt = AttemptNumberGenerator.of(CLOCK, new Random(1)).next();
        return new AttemptTicket(INCARNATION, attempt, "0".repeat(64));
    }

    /** Responds to two requests, on one connection or two, and sends the first response twice. */
    private void respondTwice(boolean hasId, boolean isAtOnce) {
        AtomicInteger requests = new AtomicInteger();
        for (int connection = 0; connection < 2; connection++) {
            Thread thread = new Thread(() -> respond(requests, hasId, isAtOnce), "endpoint");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void respond(AtomicInteger requests, boolean hasId, boolean isAtOnce) {
        try (Socket socket = mEndpoint.accept()) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            String late = "";
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (!line.isEmpty()) {
                    continue;
                }
                int request = requests.incrementAndGet();
                String response =
                        "HTTP/1.1 200 OK\r\n"
                                + (hasId
                                        ? RequestHeaders.ENDPOINT_REQUEST_ID
                                                + ": id-"
                                                + request
                                                + "\r\n"
                                        : "")
                                + "Content-Length: 9\r\n\r\nbody of "
                                + request;
                boolean isRepeated = request == 1;
                String sent = late + response + (isRepeated && isAtOnce ? response : "");
                late = isRepeated && !isAtOnce ? response : "";
                socket.getOutputStream().write(sent.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The test has ended.
        }
    }

    /** Sends a truncated response to the next request and closes the connection. */
    private void respondOnce(String framing, String body) {
        respondOnce("200 OK", framing, body);
    }

    private void respondOnce(String status, String framing, String body) {
        String response =
                "HTTP/1.1 "
                        + status
                        + "\r\nX-Of-Endpoint: 1\r\n"
                        + framing.replace(";", "\r\n")
                        + "\r\n\r\n"
                        + body.replace(";", "\r\n");
        Thread thread =
                new Thread(
                        () -> {
                            try (Socket socket = mEndpoint.accept()) {
                                BufferedReader reader =
                                        new BufferedReader(
                                                new InputStreamReader(
                                                        socket.getInputStream(),
                                                        StandardCharsets.US_ASCII));
                                for (String line = reader.readLine();
                                        line != null && !line.isEmpty(); ) {
                                    line = reader.readLine();
                                }
                                socket.getOutputStream()
                                        .write(response.getBytes(StandardCharsets.US_ASCII));
                            } catch (IOException e) {
                                // The test has ended.
                            }
                        },
                        "endpoint");
        thread.setDaemon(true);
        thread.start();
    }
}
