package org.sequoiahill.daemon.process.control;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.apache.thrift.TException;
import org.apache.thrift.TServiceClient;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TMultiplexedProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.settings.HostPort;

/** Calls Thrift services of other processes, over one connection per peer, service and lane. */
public final class ControlClient implements AutoCloseable {
    /** Largest frame that is sent or accepted, in bytes. */
    public static final int MAX_FRAME_BYTES = 16 << 20;

    private static final Timeouts STANDARD_TIMEOUTS =
            new Timeouts(Duration.ofSeconds(1), Duration.ofSeconds(2));

    private final Executor mExecutor;
    private final ControlTraffic mTraffic;
    private final Timeouts mTimeouts;
    private final Map<ConnectionKey, Connection> mConnections = new ConcurrentHashMap<>();

    private ControlClient(Executor executor, ControlTraffic traffic, Timeouts timeouts) {
        mExecutor = executor;
        mTraffic = traffic;
        mTimeouts = timeouts;
    }

    /** Returns a client whose calls run on the executor. */
    public static ControlClient on(Executor executor, ControlTraffic traffic) {
        return on(executor, traffic, STANDARD_TIMEOUTS);
    }

    /** Returns a client with the given timeouts. */
    public static ControlClient on(Executor executor, ControlTraffic traffic, Timeouts timeouts) {
        return new ControlClient(executor, traffic, timeouts);
    }

    /**
     * Timeouts after which a peer counts as unreachable and its connection is replaced; there is no
     * other way to detect a connection that went silent.
     *
     * @param connect longest time until a connection is established
     * @param read longest time without a byte of an awaited reply
     */
    public record Timeouts(Duration connect, Duration read) {}

    /**
     * Calls a peer; the result fails with {@link TException} if the call fails.
     *
     * @param peer control address of the peer
     * @param stub service to call
     * @param call call to execute
     */
    public <C extends TServiceClient, R> CompletableFuture<R> call(
            HostPort peer, ServiceStub<C> stub, ThriftCall<C, R> call) {
        return call(peer, stub, 0, call);
    }

    /**
     * Calls a peer as {@link #call(HostPort, ServiceStub, ThriftCall)} does, on one of several
     * connections.
     *
     * @param lane number of the connection; calls on the same lane run one after another
     */
    public <C extends TServiceClient, R> CompletableFuture<R> call(
            HostPort peer, ServiceStub<C> stub, int lane, ThriftCall<C, R> call) {
        ConnectionKey key = new ConnectionKey(peer, stub.name(), lane);
        Connection connection =
                mConnections.computeIfAbsent(key, k -> new Connection(k, mTraffic, mTimeouts));
        return CompletableFuture.supplyAsync(() -> connection.call(stub, call), mExecutor);
    }

    @Override
    public void close() {
        mConnections.values().forEach(Connection::close);
    }

    /**
     * One call on a Thrift client.
     *
     * @param <C> type of the client
     * @param <R> type of the result
     */
    @FunctionalInterface
    public interface ThriftCall<C, R> {
        /** Executes the call. */
        R apply(C client) throws TException;
    }

    private record ConnectionKey(HostPort peer, String service, int lane) {}

    /** One connection; calls on it run one after another. */
    private static final class Connection {
        private final ConnectionKey mKey;
        private final ControlTraffic mTraffic;
        private final Timeouts mTimeouts;
        private @Nullable CountingFramedTransport mTransport;

        Connection(ConnectionKey key, ControlTraffic traffic, Timeouts timeouts) {
            mKey = key;
            mTraffic = traffic;
            mTimeouts = timeouts;
        }

        synchronized <C extends TServiceClient, R> R call(
                ServiceStub<C> stub, ThriftCall<C, R> call) {
            try {
                CountingFramedTransport transport = openTransport();
                MessageNameProtocol protocol =
                        new MessageNameProtocol(new TCompactProtocol(transport));
                R result =
                        call.apply(
                                stub.create()
                                        .apply(new TMultiplexedProtocol(protocol, stub.name())));
                mTraffic.sent(protocol.message(), transport.drainBytesWritten());
                mTraffic.received(protocol.message(), transport.drainBytesRead());
                return result;
            } catch (TException e) {
                close();
                throw new CompletionException(e);
            }
        }

        synchronized void close() {
            if (mTransport != null) {
                mTransport.close();
                mTransport = null;
            }
        }

        private CountingFramedTransport openTransport() throws TTransportException {
            if (mTransport != null && mTransport.isOpen()) {
                return mTransport;
            }
            TSocket socket =
                    new TSocket(
                            mKey.peer().host(),
                            mKey.peer().port(),
                            (int) mTimeouts.read().toMillis());
            socket.setConnectTimeout((int) mTimeouts.connect().toMillis());
            CountingFramedTransport transport = CountingFramedTransport.over(socket);
            transport.open();
            mTransport = transport;
            return transport;
        }
    }
}
