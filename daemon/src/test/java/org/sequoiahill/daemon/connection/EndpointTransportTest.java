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

/** Tests of {@link EndpointTransport} against an endpoint whose bytes never run out. */
final class EndpointTransportTest {
    private static final int READS_BEFORE_ABORT = 50;
    private static final Duration IDLE_TIME = Duration.ofSeconds(10);
    private static final String INTERIM = "HTTP/1.1 103 Early Hints|X-More: more||";

    /** Lets no further interim head end where a buffer, whose length is even, ends. */
    private static final String INTERIM_OF_ODD_LENGTH = "HTTP/1.1 103 Early Hints|X-More: odd||";

    private static final String CHUNKED = "HTTP/1.1 200 OK|Transfer-Encoding: chunked||";

    @ParameterizedTest
    @CsvSource({
        // what the endpoint sends first, and again and again; "|" ends a line
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
    void request_abortedWhileBytesNeverRunOut_endsAndItsConnectionIsClosed(
            String first, String rest) throws Exception {
        assertEnds(first, rest, true);
    }

    @ParameterizedTest
    @CsvSource({"'', " + INTERIM, INTERIM_OF_ODD_LENGTH + ", " + INTERIM})
    void request_interimHeadsWithoutEnd_endsByItselfAndItsConnectionIsClosed(
            String first, String rest) throws Exception {
        assertEnds(first, rest, false);
    }

    private static void assertEnds(String first, String rest, boolean isAborted) throws Exception {
        EndlessConnector connector = new EndlessConnector(bytes(first), bytes(rest));
        HttpClient client = new HttpClient(EndpointTransport.over(connector, IDLE_TIME));
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            client.start();
            CompletableFuture<Result> ended = new CompletableFuture<>();
            CompletableFuture<Request> sent = new CompletableFuture<>();
            Request request = client.newRequest("http://127.0.0.1:" + server.getLocalPort());
            request.onRequestSuccess(sent::complete).send(ended::complete);
            try (Socket socket = server.accept()) {
                sent.get(10, TimeUnit.SECONDS);
                socket.getOutputStream().write('H');
                if (isAborted) {
                    CompletableFuture.anyOf(ended, connector.mIsRead).get(10, TimeUnit.SECONDS);
                    request.abort(new IOException("given up"));
                }
                assertThat(ended.get(10, TimeUnit.SECONDS).isFailed(), is(true));
                connector.mIsClosed.get(10, TimeUnit.SECONDS);
                assertThat("a thread still reads", connector.isStillRead(), is(false));
            }
        } finally {
            connector.mIsEnded.set(true);
            client.stop();
        }
    }

    private static byte[] bytes(String text) {
        return text.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Connects to an endpoint that sends faster than the client reads. */
    private static final class EndlessConnector extends ClientConnector {
        private final byte[] mFirst;
        private final byte[] mRest;
        private final AtomicLong mReads = new AtomicLong();
        private final AtomicBoolean mIsEnded = new AtomicBoolean();
        private final CompletableFuture<Boolean> mIsRead = new CompletableFuture<>();
        private final CompletableFuture<Boolean> mIsClosed = new CompletableFuture<>();

        EndlessConnector(byte[] first, byte[] rest) {
            mFirst = first;
            mRest = rest;
        }

        /** Returns whether the connection is read in a tenth of a second. */
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

        /** Fills each buffer, whatever has come from the socket. */
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
                if (mIsEnded.get() || !isOpen()) {
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
                        : mRest[(int) ((sent - mFirst.length) % mRest.length)];
            }
        }
    }
}
