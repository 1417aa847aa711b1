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
 * A connection to an endpoint, which serves no other request once its bytes can't be told apart:
 * after an answer that more bytes have followed, that failed or was given up, or that too many
 * interim heads went before. One whose kind is not kept serves a single request.
 *
 * <p>Jetty drops the bytes that came together with an answer's end and keeps the connection. What
 * follows them later would be read as the answer to the next request.
 *
 * <p>Jetty closes the connection of an exchange that was given up in a task that waits for the one
 * that reads the answer, and a peer that sends a chunk's extension or trailers without end keeps
 * that one busy. An abort that comes after an interim head was taken as an answer does nothing.
 */
final class EndpointConnection extends HttpConnectionOverHTTP {
    /** Interim heads that may come in a row. */
    private static final int MAX_INTERIM_HEADS = 8;

    private final boolean mIsReusable;
    private volatile boolean mHasSurplusBytes;

    EndpointConnection(EndPoint endPoint, Map<String, Object> context, boolean isKept) {
        super(endPoint, context);
        mIsReusable = isKept;
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

    /** The one channel of the connection. */
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

    /** Counts interim heads, and notes bytes that were read beyond the end of an answer. */
    private final class Receiver extends HttpReceiverOverHTTP {
        private int mInterimHeads;

        Receiver(Channel channel) {
            super(channel);
        }

        @Override
        public void startResponse(HttpVersion version, int status, @Nullable String reason) {
            mInterimHeads = HttpStatus.isInterim(status) ? mInterimHeads + 1 : 0;
            if (mInterimHeads > MAX_INTERIM_HEADS) {
                closeSocket();
                throw new BadMessageException(
                        "more than " + MAX_INTERIM_HEADS + " interim heads before an answer");
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
