package org.sequoiahill.daemon.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
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
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests of {@link HttpForwarder} against an endpoint that sends a head and nothing more. */
final class HttpForwarderTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n";

    private final HttpClient mClient = new HttpClient();
    private ServerSocket mEndpoint;

    @BeforeEach
    void start() throws Exception {
        mClient.start();
        mEndpoint = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::sendHead, "endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() throws Exception {
        mClient.stop();
        mEndpoint.close();
    }

    @Test
    void send_answerBreaksOffUnread_isTold() throws Exception {
        Answer answer = new Answer();
        Request request =
                HttpForwarder.over(mClient)
                        .send(
                                HttpForwarder.Call.of(
                                        "GET",
                                        URI.create("http://127.0.0.1:" + mEndpoint.getLocalPort()),
                                        HttpFields.EMPTY,
                                        ByteBuffer.allocate(0),
                                        Duration.ofSeconds(20)),
                                answer);
        answer.mHasHead.get(10, TimeUnit.SECONDS);
        IOException cause = new IOException("cut");
        request.abort(cause);
        assertThat(answer.mBroken.get(10, TimeUnit.SECONDS), is(cause));
    }

    private void sendHead() {
        try (Socket socket = mEndpoint.accept()) {
            // An answer that comes before its request belongs to none.
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = reader.readLine(); line != null && !line.isEmpty(); ) {
                line = reader.readLine();
            }
            socket.getOutputStream().write(HEAD.getBytes(StandardCharsets.US_ASCII));
            // Ends once the client has closed the connection.
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The test has ended.
        }
    }

    /** An answer that nobody reads. */
    private static final class Answer implements HttpForwarder.Listener {
        private final CompletableFuture<Boolean> mHasHead = new CompletableFuture<>();
        private final CompletableFuture<Throwable> mBroken = new CompletableFuture<>();

        @Override
        public void onAnswer(Response answer, Content.Source content) {
            mHasHead.complete(true);
        }

        @Override
        public void onFailure(Throwable failure, boolean isNotRun) {
            mHasHead.completeExceptionally(failure);
        }

        @Override
        public void onBroken(Throwable failure) {
            mBroken.complete(failure);
        }
    }
}
