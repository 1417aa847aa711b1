package org.sequoiahill.bench.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/** Relays TCP connections to a target and delays, throttles, closes or silences them. */
public final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;

    private final ServerSocket mListener;
    private final InetSocketAddress mTarget;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> mSilenced = ConcurrentHashMap.newKeySet();
    private volatile Duration mDelay = Duration.ZERO;
    private volatile long mBytesPerSecond = Long.MAX_VALUE;
    private volatile boolean mIsCut;
    private volatile boolean mIsSilent;

    private Relay(InetSocketAddress listen, InetSocketAddress target) throws IOException {
        mListener = new ServerSocket();
        mListener.bind(listen);
        mTarget = target;
    }

    /** Starts a relay that listens at one address and connects to another. */
    public static Relay start(InetSocketAddress listen, InetSocketAddress target)
            throws IOException {
        Relay relay = new Relay(listen, target);
        relay.run("relay-accept", relay::accept);
        return relay;
    }

    /** Delays each read of up to {@code BUFFER_BYTES} by this time, in each direction. */
    public void delay(Duration delay) {
        mDelay = delay;
    }

    /** Limits the data rate of each connection, in each direction. */
    public void rate(long bytesPerSecond) {
        mBytesPerSecond = bytesPerSecond;
    }

    /**
     * Closes all connections, and new ones as soon as they are accepted, until called with {@code
     * false}.
     */
    public void cut(boolean isCut) {
        mIsCut = isCut;
        if (isCut) {
            mSockets.forEach(Relay::closeQuietly);
        }
    }

    /** Discards all further data on the connections that are open now, and keeps them open. */
    public void silenceOpenConnections() {
        mSilenced.addAll(mSockets);
    }

    /**
     * Discards the data of all connections, which stay open, until called with {@code false}; new
     * ones are still accepted.
     */
    public void silence(boolean isSilent) {
        mIsSilent = isSilent;
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        mSockets.forEach(Relay::closeQuietly);
    }

    private void accept() {
        try {
            while (!mListener.isClosed()) {
                connect(mListener.accept());
            }
        } catch (IOException e) {
            closeQuietly(mListener);
        }
    }

    private void connect(Socket caller) {
        if (mIsCut) {
            closeQuietly(caller);
            return;
        }
        Socket target = new Socket();
        try {
            target.connect(mTarget);
            caller.setTcpNoDelay(true);
            target.setTcpNoDelay(true);
        } catch (IOException e) {
            closeQuietly(caller);
            return;
        }
        mSockets.add(caller);
        mSockets.add(target);
        run("relay-out", () -> copy(caller, target));
        run("relay-back", () -> copy(target, caller));
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int n = input.read(buffer); n >= 0; n = input.read(buffer)) {
                pause(mDelay.toNanos() + n * 1_000_000_000L / Math.max(1, mBytesPerSecond));
                if (!mIsSilent && !mSilenced.contains(from)) {
                    output.write(buffer, 0, n);
                }
            }
            to.shutdownOutput();
        } catch (IOException e) {
            closeQuietly(from);
            closeQuietly(to);
        } finally {
            mSockets.remove(from);
        }
    }

    private void run(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void pause(long nanos) {
        if (nanos > 0) {
            LockSupport.parkNanos(nanos);
        }
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // The relay no longer uses the socket, and a failed close can't be repaired.
        }
    }
}
