package org.sequoiahill.daemon.request.direct;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Detects that a caller closes its connection while its request is being served.
 *
 * <p>Jetty does not read from an HTTP/1.1 connection between the end of a request and the end of
 * its response, so a close would show only at the next write. The detector reads during that time:
 * end of stream means that the caller has closed the connection, and bytes of a next request are
 * handed back to the connection, after which a close is no longer detected. It isn't either if the
 * connection has read bytes of a next request already: it drops what doesn't fit in behind them.
 */
final class DisconnectDetector {
    private static final int BUFFER_BYTES = 4_096;

    private final AbstractEndPoint mEndPoint;
    private final HttpConnection mConnection;
    private final Runnable mOnDisconnect;
    private boolean mIsRegistered;
    private boolean mIsStopped;

    private DisconnectDetector(
            AbstractEndPoint endPoint, HttpConnection connection, Runnable onDisconnect) {
        mEndPoint = endPoint;
        mConnection = connection;
        mOnDisconnect = onDisconnect;
    }

    /**
     * Starts monitoring the connection of a request whose body has been read completely. The
     * detector must be stopped before the response is completed.
     */
    static DisconnectDetector start(Request request, Runnable onDisconnect) {
        Connection connection = request.getConnectionMetaData().getConnection();
        if (!(connection.getEndPoint() instanceof AbstractEndPoint endPoint)
                || !(connection instanceof HttpConnection httpConnection)) {
            throw new IllegalStateException("caller connections must use HTTP/1.1");
        }
        DisconnectDetector detector =
                new DisconnectDetector(endPoint, httpConnection, onDisconnect);
        detector.register();
        return detector;
    }

    /**
     * Stops monitoring, so that the connection can read the next request once the response is
     * complete.
     */
    synchronized void stop() {
        mIsStopped = true;
        if (mIsRegistered) {
            mIsRegistered = false;
            mEndPoint.getFillInterest().onFail(new EOFException("disconnect detection stopped"));
        }
    }

    void closeConnection() {
        mEndPoint.close();
    }

    private synchronized void register() {
        if (!mIsStopped && mConnection.isRequestBufferEmpty()) {
            mIsRegistered =
                    mEndPoint.tryFillInterested(Callback.from(this::onReadable, this::onFailure));
        }
    }

    private void onReadable() {
        if (readsEndOfStream()) {
            mOnDisconnect.run();
        }
    }

    /** Reads available bytes; returns whether the stream has ended. */
    private synchronized boolean readsEndOfStream() {
        mIsRegistered = false;
        if (mIsStopped) {
            return false;
        }
        ByteBuffer buffer = BufferUtil.allocate(BUFFER_BYTES);
        try {
            int read = mEndPoint.fill(buffer);
            if (read < 0) {
                return true;
            }
            if (read == 0) {
                register();
            } else {
                mConnection.onUpgradeTo(buffer);
            }
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private void onFailure(Throwable failure) {
        boolean isDisconnected;
        synchronized (this) {
            isDisconnected = !mIsStopped && !(failure instanceof TimeoutException);
            mIsRegistered = false;
        }
        if (isDisconnected) {
            mOnDisconnect.run();
        }
    }
}
