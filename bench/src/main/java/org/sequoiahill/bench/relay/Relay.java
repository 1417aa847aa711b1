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

/** Relays TCP connections to a target and delays, shapes, cuts or silences them on demand. */
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

    /** Delays each piece of data by this time, each way. */
    public void delay(Duration delay) {
        mDelay = delay;
    }

    /** Limits what passes on one connection, each way. */
    public void rate(long bytesPerSecond) {
        mBytesPerSecond = bytesPerSecond;
    }

    /** Closes all connections and refuses new ones, until it is undone. */
    public void cut(boolean isCut) {
        mIsCut = isCut;
        if (isCut) {
            mSockets.forEach(Relay::closeQuietly);
        }
    }

    /** Keeps the present connections open for good but lets nothing pass on them any more. */
    public void silencePresent() {
        mSilenced.addAll(mSockets);
    }

    /** Keeps all connections open, new ones too, but lets nothing pass, until it is undone. */
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
            // A socket that can't be closed is closed already.
        }
    }
}
