package org.sequoiahill.daemon.request.direct;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Notices that a caller has closed its connection while its request is being served.
 *
 * <p>Jetty does not read from an HTTP/1.1 connection between the end of a request and the end of
 * its answer, so a close would show only with the next write. The watch reads in that time: an end
 * of the stream is the caller's close, and bytes of a next request go back to the connection.
 */
final class DisconnectDetector {
    private static final int BUFFER_BYTES = 4_096;

    private final AbstractEndPoint mEndPoint;
    private final Connection.UpgradeTo mConnection;
    private final Runnable mOnDisconnect;
    private boolean mIsRegistered;
    private boolean mIsStopped;

    private DisconnectDetector(
            AbstractEndPoint endPoint, Connection.UpgradeTo connection, Runnable onGone) {
        mEndPoint = endPoint;
        mConnection = connection;
        mOnDisconnect = onGone;
    }

    /**
     * Watches the connection of a request whose body was read whole; the watch must be ended before
     * the answer is.
     */
    static DisconnectDetector start(Request request, Runnable onGone) {
        Connection connection = request.getConnectionMetaData().getConnection();
        if (!(connection.getEndPoint() instanceof AbstractEndPoint endPoint)
                || !(connection instanceof Connection.UpgradeTo upgradeable)) {
            throw new IllegalStateException("callers are served over HTTP/1.1 only");
        }
        DisconnectDetector watch = new DisconnectDetector(endPoint, upgradeable, onGone);
        watch.register();
        return watch;
    }

    /** Ends the watch; the connection reads again. */
    synchronized void stop() {
        mIsStopped = true;
        if (mIsRegistered) {
            mIsRegistered = false;
            mEndPoint.getFillInterest().onFail(new EOFException("the watch has ended"));
        }
    }

    private synchronized void register() {
        if (!mIsStopped) {
            mIsRegistered =
                    mEndPoint.tryFillInterested(Callback.from(this::onReadable, this::onFailure));
        }
    }

    private void onReadable() {
        if (readIsClosed()) {
            mOnDisconnect.run();
        }
    }

    /** Reads what has come; returns whether that is the end of the stream. */
    private synchronized boolean readIsClosed() {
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
        boolean isGone;
        synchronized (this) {
            isGone = !mIsStopped && !(failure instanceof TimeoutException);
            mIsRegistered = false;
        }
        if (isGone) {
            mOnDisconnect.run();
        }
    }
}
