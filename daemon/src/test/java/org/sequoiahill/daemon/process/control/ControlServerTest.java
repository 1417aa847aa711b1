package org.sequoiahill.daemon.process.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.thrift.TException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.OriginLeaseReply;
import org.sequoiahill.protocol.gen.OriginLeaseRequest;
import org.sequoiahill.protocol.gen.TurnReply;
import org.sequoiahill.protocol.gen.TurnRequest;
import org.sequoiahill.protocol.gen.Turns;

class ControlServerTest {
    private static final String HOST = "127.0.0.1";

    private final ExecutorService mExecutor = Executors.newCachedThreadPool();
    private final SimpleMeterRegistry mServerMetrics = new SimpleMeterRegistry();
    private final SimpleMeterRegistry mClientMetrics = new SimpleMeterRegistry();
    private HostPort mAddress;
    private ControlServer mServer;
    private ControlClient mClient;

    @BeforeEach
    void start() throws IOException {
        mAddress = new HostPort(HOST, freePort());
        mServer = ControlServer.bind(mAddress, mExecutor, ControlTraffic.on(mServerMetrics));
        mServer.register(ServiceStub.TURNS, new Turns.Processor<>(new GrantingTurns()));
        mServer.start();
        mClient = ControlClient.on(mExecutor, ControlTraffic.on(mClientMetrics));
    }

    @AfterEach
    void stop() {
        mClient.close();
        mServer.close();
        mExecutor.shutdownNow();
    }

    @Test
    void call_registeredService_returnsReply() {
        assertThat(call().isGranted(), is(true));
    }

    @ParameterizedTest
    @CsvSource({"sent, received", "received, sent"})
    void call_succeeds_isCountedEquallyAtBothEnds(String clientDirection, String serverDirection) {
        call();

        assertThat(bytes(mClientMetrics, clientDirection), greaterThan(0.0));
        assertThat(
                bytes(mClientMetrics, clientDirection), is(bytes(mServerMetrics, serverDirection)));
    }

    private static double bytes(SimpleMeterRegistry registry, String direction) {
        return registry.get("sequoia.control.bytes")
                .tags("message", "turns:request", "direction", direction)
                .counter()
                .count();
    }

    @Test
    void close_whileTheServerStarts_succeeds() {
        for (int spins = 0; spins < 2_000; spins++) {
            ControlServer server =
                    ControlServer.bind(
                            new HostPort(HOST, 0),
                            mExecutor,
                            ControlTraffic.on(new SimpleMeterRegistry()));
            server.start();
            // Varies the moment at which the server is closed.
            for (int i = 0; i < spins; i++) {
                Thread.onSpinWait();
            }
            server.close();
        }
    }

    @Test
    void call_unknownService_fails() {
        CompletionException failure =
                assertThrows(
                        CompletionException.class,
                        () ->
                                mClient.call(
                                                mAddress,
                                                ServiceStub.LOG_CONFIG,
                                                client -> client.members(null))
                                        .join());

        assertThat(failure.getCause(), instanceOf(TException.class));
    }

    /** The length of a frame is negative, above the limit, or garbage that reads as a length. */
    @ParameterizedTest
    @ValueSource(ints = {-1, ControlClient.MAX_FRAME_BYTES + 1, 0x47455420})
    void frame_invalidLength_closesOnlyThatConnection(int length) throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName(HOST), mAddress.port())) {
            socket.getOutputStream().write(ByteBuffer.allocate(4).putInt(length).array());
            socket.getOutputStream().flush();

            assertThat(readsEnd(socket), is(true));
        }
        assertThat(call().isGranted(), is(true));
    }

    @Test
    void frame_garbageContent_closesOnlyThatConnection() throws IOException {
        byte[] garbage = new byte[64];
        try (Socket socket = new Socket(InetAddress.getByName(HOST), mAddress.port())) {
            ByteBuffer frame = ByteBuffer.allocate(4 + garbage.length);
            socket.getOutputStream().write(frame.putInt(garbage.length).put(garbage).array());
            socket.getOutputStream().flush();

            assertThat(readsEnd(socket), is(true));
        }
        assertThat(call().isGranted(), is(true));
    }

    private static boolean readsEnd(Socket socket) {
        try (InputStream input = socket.getInputStream()) {
            while (input.read() >= 0) {
                // Reads what the server may send before it closes the connection.
            }
            return true;
        } catch (IOException e) {
            return true;
        }
    }

    private TurnReply call() {
        return mClient.call(
                        mAddress, ServiceStub.TURNS, client -> client.request(new TurnRequest()))
                .join();
    }

    /** Grants every lease. */
    private static final class GrantingTurns implements Turns.Iface {
        @Override
        public TurnReply request(TurnRequest request) {
            return new TurnReply().setGranted(true);
        }

        @Override
        public OriginLeaseReply leaseOrigin(OriginLeaseRequest request) {
            return new OriginLeaseReply();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }
}
