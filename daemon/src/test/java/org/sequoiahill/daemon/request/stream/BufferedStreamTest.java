package org.sequoiahill.daemon.request.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.content.ChunksContentSource;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.connection.FramedResponse;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.Outcome;
import org.sequoiahill.daemon.request.Quarantine;
import org.sequoiahill.daemon.request.RequestHeaders;
import org.sequoiahill.daemon.request.ResponseHead;
import org.sequoiahill.daemon.request.StreamRelay;

/** Tests of {@link BufferedStream} with a caller's connection. */
final class BufferedStreamTest {
    private static final String DIGEST = "ab".repeat(32);
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor();
    private final BufferedStreamRelay mRelay =
            BufferedStreamRelay.of(
                    new ParkingPolicy(1 << 20, Duration.ofMinutes(1)),
                    MonotonicClock.system(),
                    Quarantine.none(),
                    mScheduler,
                    new SimpleMeterRegistry());
    private final Server mServer = new Server();
    private final ServerConnector mConnector = new ServerConnector(mServer, 1, 1);

    @AfterEach
    void stop() throws Exception {
        mServer.stop();
        mScheduler.shutdownNow();
    }

    @ParameterizedTest
    @CsvSource({
        // whether the endpoint's stream breaks for good; whether the caller's response is complete
        "false, true",
        "true, false"
    })
    void stream_cannotBeResumed_isVisiblyIncomplete(boolean isBroken, boolean isComplete)
            throws Exception {
        serve(isBroken);
        String response = read();
        assertThat(response, containsString("data: token1\n\n"));
        if (isComplete) {
            assertThat(response, endsWith(LAST_CHUNK));
            assertThat(response, not(containsString("event: error")));
        } else {
            assertThat(response, not(endsWith(LAST_CHUNK)));
            assertThat(response, containsString("event: error\n"));
        }
        assertThat(response.startsWith("HTTP/1.1 200 OK\r\n"), is(true));
    }

    private void serve(boolean isBroken) throws Exception {
        mConnector.setHost("127.0.0.1");
        mServer.addConnector(mConnector);
        mServer.setHandler(
                new Handler.Abstract() {
                    @Override
                    public boolean handle(Request request, Response response, Callback callback) {
                        new BufferedStream(
                                        mRelay,
                                        "id",
                                        new StreamRelay.Destination(
                                                FramedResponse.of(request, response), callback),
                                        resumption(),
                                        failure -> {})
                                .start(source("data: token1\n\n", isBroken));
                        return true;
                    }
                });
        mServer.start();
    }

    /** Returns a resumption whose streams break before their first event. */
    private static Resumption resumption() {
        HttpFields headers = HttpFields.build().put(RequestHeaders.WEIGHTS, DIGEST);
        return Resumption.of(
                headers,
                (digest, extraHeaders, outcome) ->
                        outcome.accept(
                                new Outcome.Responded(
                                        new ResponseHead(
                                                200, HttpFields.build(headers).add(extraHeaders)),
                                        source("", true))));
    }

    private static Content.Source source(String text, boolean isBroken) {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        Content.Chunk end =
                isBroken ? Content.Chunk.from(new IOException("broken"), true) : Content.Chunk.EOF;
        return new ChunksContentSource(List.of(Content.Chunk.from(bytes, false), end));
    }

    private String read() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mConnector.getLocalPort())) {
            socket.setSoTimeout(10_000);
            String request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
