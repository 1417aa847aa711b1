package org.sequoiahill.daemon.connection;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link EndpointTransport} against an endpoint that sends bytes without end. */
final class EndpointTransportTest {
    private static final int READS_BEFORE_ABORT = 50;
    private static final Duration IDLE_TIME = Duration.ofSeconds(10);
    private static final String INTERIM = "HTTP/1.1 103 Early Hints|X-More: more||";

    /**
     * Shifts all further interim responses so that none ends at the end of a buffer of even size.
     */
    private static final String INTERIM_OF_ODD_LENGTH = "HTTP/1.1 103 Early Hints|X-More: odd||";

    private static final String CHUNKED = "HTTP/1.1 200 OK|Transfer-Encoding: chunked||";

    @ParameterizedTest
    @CsvSource({
        // what the endpoint sends first, and then repeatedly; "|" ends a line
        INTERIM + ", 'no answer '",
        INTERIM + ", 'X-More: more|'",
        INTERIM + "HTTP/1.1 200 OK|, 'X-More: more|'",
        INTERIM + "HTTP/1.1 200 OK||, 'more and more '",
        "'', '|'",
        "'', 'no answer '",
        "HTTP/1.1 200 OK|, 'X-More: more|'",
        "HTTP/1.1 200 OK||, 'more and more '",
        CHUNKED + ", '4|more|'",
        CHUNKED + "4;, 'more and more '",
        CHUNKED + ", '0'",
        CHUNKED + "0|, 'X-More: more|'"
    })
    void request_abortedDuringEndlessResponse_failsAndItsConnectionIsClosed(
            String first, String repeated) throws Exception {
        assertFailsAndCloses(first, repeated, true);
    }

    @ParameterizedTest
    @CsvSource({"'', " + INTERIM, INTERIM_OF_ODD_LENGTH + ", " + INTERIM})
    void request_endlessInterimResponses_failsAndItsConnectionIsClosed(
            String first, String repeated) throws Exception {
        assertFailsAndCloses(first, repeated, false);
    }

    private static void assertFailsAndCloses(String first, String repeated, boolean isAborted)
            throws Exception {
        EndlessConnector connector = new EndlessConnector(bytes(first), bytes(repeated));
        HttpClient client = new HttpClient(EndpointTransport.over(connector, IDLE_TIME));
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            client.start();
            CompletableFuture<Result> completed = new CompletableFuture<>();
            CompletableFuture<Request> sent = new CompletableFuture<>();
            Request request = client.newRequest("http://127.0.0.1:" + server.getLocalPort());
            request.onRequestSuccess(sent::complete).send(completed::complete);
            try (Socket socket = server.accept()) {
                sent.get(10, TimeUnit.SECONDS);
                socket.getOutputStream().write('H');
                if (isAborted) {
                    CompletableFuture.anyOf(completed, connector.mIsRead).get(10, TimeUnit.SECONDS);
                    request.abort(new IOException("aborted"));
                }
                assertThat(completed.get(10, TimeUnit.SECONDS).isFailed(), is(true));
                connector.mIsClosed.get(10, TimeUnit.SECONDS);
                assertThat(
                        "a thread still reads the connection", connector.isStillRead(), is(false));
            }
        } finally {
            connector.mIsTestEnded.set(true);
            client.stop();
        }
    }

    private static byte[] bytes(String text) {
        return text.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Simulates an endpoint that sends faster than the client reads. */
    private static final class EndlessConnector extends ClientConnector {
        private final byte[] mFirst;
        private final byte[] mRepeated;
        private final AtomicLong mReads = new AtomicLong();
        private final AtomicBoolean mIsTestEnded = new AtomicBoolean();
        private final CompletableFuture<Boolean> mIsRead = new CompletableFuture<>();
        private final CompletableFuture<Boolean> mIsClosed = new CompletableFuture<>();

        EndlessConnector(byte[] first, byte[] repeated) {
            mFirst = first;
            mRepeated = repeated;
        }

        /** Returns whether the connection is read within the next 100 ms. */
        boolean isStillRead() {
            long before = mReads.get();
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
            return mReads.get() != before;
        }

        @Override
        protected EndPoint newEndPoint(
                SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
            return new EndlessEndPoint((SocketChannel) channel, selector, key, getScheduler());
        }

        /** Fills each buffer completely, regardless of the socket. */
        private final class EndlessEndPoint extends SocketChannelEndPoint {
            private long mSent;

            EndlessEndPoint(
                    SocketChannel channel,
                    ManagedSelector selector,
                    SelectionKey key,
                    Scheduler scheduler) {
                super(channel, selector, key, scheduler);
            }

            @Override
            public int fill(ByteBuffer buffer) {
                if (mReads.incrementAndGet() == READS_BEFORE_ABORT) {
                    mIsRead.complete(true);
                }
                if (mIsTestEnded.get() || !isOpen()) {
                    return -1;
                }
                int position = BufferUtil.flipToFill(buffer);
                int filled = buffer.remaining();
                while (buffer.hasRemaining()) {
                    buffer.put(next());
                }
                BufferUtil.flipToFlush(buffer, position);
                return filled;
            }

            @Override
            public void onClose(Throwable cause) {
                super.onClose(cause);
                mIsClosed.complete(true);
            }

            private byte next() {
                long sent = mSent++;
                return sent < mFirst.length
                        ? mFirst[(int) sent]
                        : mRepeated[(int) ((sent - mFirst.length) % mRepeated.length)];
            }
        }
    }
}
