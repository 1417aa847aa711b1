package org.sequoiahill.daemon.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Named.named;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiahill.daemon.connection.BodyReader;
import org.sequoiahill.daemon.connection.EndpointHttpClients;

/** Tests of {@link HttpForwarder} against endpoints whose responses fail. */
final class HttpForwarderTest {
    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n";
    private static final String COMPLETE_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final int BODY_BYTES = 1 << 20;

    private final HttpClient mClient =
            EndpointHttpClients.create(
                    new QueuedThreadPool(), EndpointHttpClients.Limits.forFleet());
    private ServerSocket mServer;

    @BeforeEach
    void start() throws Exception {
        mClient.start();
        mServer = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    }

    @AfterEach
    void stop() throws Exception {
        mClient.stop();
        mServer.close();
    }

    /** Behaviour of an endpoint on its first and only connection. */
    @FunctionalInterface
    private interface Endpoint {
        void serve(Socket socket) throws IOException;
    }

    @Test
    void send_unreadResponseIsAborted_isReported() throws Exception {
        serve(
                socket -> {
                    readHead(socket.getInputStream());
                    write(socket, RESPONSE_HEAD);
                    // Ends once the client has closed the connection.
                    socket.getInputStream().transferTo(OutputStream.nullOutputStream());
                });
        Recorder recorder = new Recorder();
        Request request = send(0, recorder);
        recorder.mHasHeaders.get(10, TimeUnit.SECONDS);
        IOException cause = new IOException("aborted by the test");
        request.abort(cause);
        assertThat(recorder.mResponseFailure.get(10, TimeUnit.SECONDS), is(cause));
    }

    static Stream<Arguments> failuresAfterTheFirstByte() {
        return Stream.of(
                arguments(
                        named(
                                "reset after the first byte",
                                (Endpoint)
                                        socket -> {
                                            socket.getInputStream().readNBytes(1);
                                            reset(socket);
                                        })),
                arguments(
                        named(
                                "reset after half of the request body",
                                (Endpoint)
                                        socket -> {
                                            readHead(socket.getInputStream());
                                            socket.getInputStream().readNBytes(BODY_BYTES / 2);
                                            reset(socket);
                                        })),
                arguments(
                        named(
                                "reset after the complete request",
                                (Endpoint)
                                        socket -> {
                                            readHead(socket.getInputStream());
                                            socket.getInputStream().readNBytes(BODY_BYTES);
                                            reset(socket);
                                        })),
                arguments(
                        named(
                                "end of stream after the complete request",
                                (Endpoint)
                                        socket -> {
                                            readHead(socket.getInputStream());
                                            socket.getInputStream().readNBytes(BODY_BYTES);
                                            socket.close();
                                        })));
    }

    @ParameterizedTest
    @MethodSource("failuresAfterTheFirstByte")
    void send_failsAfterItsFirstByteWasRead_mayHaveRun(Endpoint endpoint) throws Exception {
        serve(endpoint);
        Recorder recorder = new Recorder();
        send(BODY_BYTES, recorder);
        assertThat(recorder.mIsNotRun.get(30, TimeUnit.SECONDS), is(false));
    }

    @Test
    void send_failsOnAReusedConnection_mayHaveRun() throws Exception {
        serve(
                socket -> {
                    readHead(socket.getInputStream());
                    write(socket, COMPLETE_RESPONSE);
                    readHead(socket.getInputStream());
                    reset(socket);
                });
        // The second request reuses the connection of the first.
        mClient.setMaxConnectionsPerDestination(1);
        Recorder first = new Recorder();
        send(0, first);
        first.mBody.get(10, TimeUnit.SECONDS);
        Recorder second = new Recorder();
        send(0, second);
        assertThat(second.mIsNotRun.get(30, TimeUnit.SECONDS), is(false));
        assertThat(second.mFailure.get(), not(instanceOf(TimeoutException.class)));
    }

    @Test
    void send_connectionRefused_hasNotRun() throws Exception {
        mServer.close();
        Recorder recorder = new Recorder();
        send(BODY_BYTES, recorder);
        assertThat(recorder.mIsNotRun.get(30, TimeUnit.SECONDS), is(true));
    }

    private Request send(int bodyBytes, Recorder recorder) {
        return HttpForwarder.over(mClient)
                .send(
                        HttpForwarder.Call.of(
                                "POST",
                                URI.create("http://127.0.0.1:" + mServer.getLocalPort()),
                                HttpFields.EMPTY,
                                ByteBuffer.allocate(bodyBytes),
                                Duration.ofSeconds(20)),
                        recorder);
    }

    private void serve(Endpoint endpoint) {
        Thread thread =
                new Thread(
                        () -> {
                            try (Socket socket = mServer.accept()) {
                                endpoint.serve(socket);
                            } catch (IOException e) {
                                // The test has ended.
                            }
                        },
                        "endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    private static void readHead(InputStream in) throws IOException {
        int newlines = 0;
        for (int next = in.read(); next >= 0 && newlines < 2; ) {
            newlines = next == '\n' ? newlines + 1 : next == '\r' ? newlines : 0;
            next = newlines < 2 ? in.read() : next;
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Records the result of a request; reads the response's body only if its length is zero. */
    private static final class Recorder implements HttpForwarder.Listener {
        private final CompletableFuture<Boolean> mHasHeaders = new CompletableFuture<>();
        private final CompletableFuture<byte[]> mBody = new CompletableFuture<>();
        private final CompletableFuture<Throwable> mResponseFailure = new CompletableFuture<>();
        private final CompletableFuture<Throwable> mFailure = new CompletableFuture<>();
        private final CompletableFuture<Boolean> mIsNotRun = new CompletableFuture<>();

        @Override
        public void onResponse(Response response, Content.Source content) {
            mHasHeaders.complete(true);
            if (response.getHeaders().getLongField("Content-Length") == 0) {
                BodyReader.read(content, 0).thenAccept(mBody::complete);
            }
        }

        @Override
        public void onFailure(Throwable failure, boolean isNotRun) {
            mHasHeaders.completeExceptionally(failure);
            mFailure.complete(failure);
            mIsNotRun.complete(isNotRun);
        }

        @Override
        public void onResponseFailure(Throwable failure) {
            mResponseFailure.complete(failure);
        }
    }
}
