package org.sequoiahill.daemon.process.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import org.apache.thrift.TMultiplexedProcessor;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.sequoiahill.daemon.process.settings.HostPort;

/** Serves Thrift services to other processes of the system. */
public final class ControlServer implements AutoCloseable {
    private static final int SELECTOR_THREADS = 2;
    private static final int CLIENT_TIMEOUT_MILLIS = 60_000;

    private final TMultiplexedProcessor mProcessor = new TMultiplexedProcessor();
    private final SelectorServer mServer;
    private boolean mIsStarted;

    private ControlServer(HostPort address, ExecutorService executor, ControlTraffic traffic)
            throws TTransportException {
        InetSocketAddress socketAddress = new InetSocketAddress(address.host(), address.port());
        mServer =
                new SelectorServer(
                        new TThreadedSelectorServer.Args(
                                        new TNonblockingServerSocket(
                                                socketAddress,
                                                CLIENT_TIMEOUT_MILLIS,
                                                ControlClient.MAX_FRAME_BYTES))
                                .processor(new CountingProcessor(mProcessor, traffic))
                                .protocolFactory(new TCompactProtocol.Factory())
                                .transportFactory(CountingFramedTransport.factory())
                                .selectorThreads(SELECTOR_THREADS)
                                .executorService(executor));
    }

    /**
     * Returns a server that is bound to the address and serves once it is started.
     *
     * @throws UncheckedIOException if the address can't be bound
     */
    public static ControlServer bind(
            HostPort address, ExecutorService executor, ControlTraffic traffic) {
        try {
            return new ControlServer(address, executor, traffic);
        } catch (TTransportException e) {
            throw new UncheckedIOException(new IOException("can't bind " + address, e));
        }
    }

    /** Adds a service; must be called before {@link #start}. */
    public void register(ServiceStub<?> stub, TProcessor processor) {
        mProcessor.registerProcessor(stub.name(), processor);
    }

    /** Starts to serve on a thread of its own. */
    public void start() {
        mIsStarted = true;
        Thread thread = new Thread(mServer::serve, "control-server");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        if (mIsStarted) {
            // stop() iterates over the threads without a lock.
            mServer.awaitThreads();
        }
        mServer.stop();
    }

    /** A server whose owner can wait until its threads have been started. */
    private static final class SelectorServer extends TThreadedSelectorServer {
        private final CountDownLatch mHasThreads = new CountDownLatch(1);

        SelectorServer(Args args) {
            super(args);
        }

        @Override
        protected boolean startThreads() {
            try {
                return super.startThreads();
            } finally {
                mHasThreads.countDown();
            }
        }

        void awaitThreads() {
            try {
                mHasThreads.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
