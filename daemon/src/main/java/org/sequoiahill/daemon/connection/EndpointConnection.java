package org.sequoiahill.daemon.connection;

import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Promise;
import org.jspecify.annotations.Nullable;

/**
 * A connection to an endpoint. It is closed, not reused, after a response with surplus bytes, after
 * a failure or abort, and after too many interim responses, because its next bytes could be read as
 * part of the wrong response. A connection that is not reusable is closed after one request.
 *
 * <p>Jetty discards surplus bytes that arrive together with the end of a response and reuses the
 * connection. Bytes that follow later would be read as the response to the next request.
 *
 * <p>Jetty closes the connection of an aborted exchange in a task that waits for the task that
 * reads the response. A peer that sends a chunk extension or trailers without end keeps that task
 * busy. And if Jetty has accepted an interim response as the final one, a later abort has no
 * effect. So this class closes the socket itself.
 */
final class EndpointConnection extends HttpConnectionOverHTTP {
    /** Maximum number of consecutive interim (1xx) responses. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    private final boolean mIsReusable;
    private volatile boolean mHasSurplusBytes;

    EndpointConnection(EndPoint endPoint, Map<String, Object> context, boolean isReusable) {
        super(endPoint, context);
        mIsReusable = isReusable;
    }

    @Override
    protected HttpChannelOverHTTP newHttpChannel() {
        return new Channel();
    }

    @Override
    public void release() {
        if (mHasSurplusBytes || !mIsReusable) {
            close();
        } else {
            super.release();
        }
    }

    private void closeSocket() {
        getEndPoint().close();
    }

    /** The only channel of the connection; closes the socket when its exchange is aborted. */
    private final class Channel extends HttpChannelOverHTTP {
        Channel() {
            super(EndpointConnection.this);
        }

        @Override
        public void abort(
                HttpExchange exchange,
                @Nullable Throwable requestFailure,
                @Nullable Throwable responseFailure,
                Promise<Boolean> promise) {
            boolean isCurrent = getHttpExchange() == exchange;
            super.abort(exchange, requestFailure, responseFailure, promise);
            if (isCurrent) {
                closeSocket();
            }
        }

        @Override
        protected HttpReceiverOverHTTP newHttpReceiver() {
            return new Receiver(this);
        }
    }

    /** Limits interim responses, and detects bytes that were read beyond the end of a response. */
    private final class Receiver extends HttpReceiverOverHTTP {
        private int mInterimResponses;

        Receiver(Channel channel) {
            super(channel);
        }

        @Override
        public void startResponse(HttpVersion version, int status, @Nullable String reason) {
            mInterimResponses = HttpStatus.isInterim(status) ? mInterimResponses + 1 : 0;
            if (mInterimResponses > MAX_INTERIM_RESPONSES) {
                closeSocket();
                throw new BadMessageException(
                        "more than " + MAX_INTERIM_RESPONSES + " interim responses in a row");
            }
            super.startResponse(version, status, reason);
        }

        @Override
        public boolean messageComplete() {
            ByteBuffer unread = getResponseBuffer();
            HttpExchange exchange = getHttpExchange();
            if (unread != null
                    && unread.hasRemaining()
                    && exchange != null
                    && !HttpStatus.isInterim(exchange.getResponse().getStatus())) {
                mHasSurplusBytes = true;
            }
            return super.messageComplete();
        }

        @Override
        public void failAndClose(Throwable failure) {
            boolean hasExchange = getHttpExchange() != null;
            super.failAndClose(failure);
            if (hasExchange) {
                closeSocket();
            }
        }
    }
}
