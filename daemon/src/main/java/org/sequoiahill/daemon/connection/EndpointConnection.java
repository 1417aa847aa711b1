package org.sequoiahill.daemon.connection;

import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.EndPoint;

/**
 * A connection to an endpoint, which is closed after an answer that more bytes have followed.
 *
 * <p>Jetty drops the bytes that came together with an answer's end and keeps the connection. What
 * follows them later would be read as the answer to the next request.
 */
final class EndpointConnection extends HttpConnectionOverHTTP {
    private volatile boolean mHasSurplus;

    EndpointConnection(EndPoint endPoint, Map<String, Object> context) {
        super(endPoint, context);
    }

    @Override
    protected HttpChannelOverHTTP newHttpChannel() {
        return new Channel();
    }

    @Override
    public void release() {
        if (mHasSurplus) {
            close();
        } else {
            super.release();
        }
    }

    /** The one channel of the connection. */
    private final class Channel extends HttpChannelOverHTTP {
        Channel() {
            super(EndpointConnection.this);
        }

        @Override
        protected HttpReceiverOverHTTP newHttpReceiver() {
            return new Receiver(this);
        }
    }

    /** Notes bytes that were read beyond the end of an answer. */
    private final class Receiver extends HttpReceiverOverHTTP {
        Receiver(Channel channel) {
            super(channel);
        }

        @Override
        public boolean messageComplete() {
            ByteBuffer unread = getResponseBuffer();
            HttpExchange exchange = getHttpExchange();
            if (unread != null
                    && unread.hasRemaining()
                    && exchange != null
                    && !HttpStatus.isInterim(exchange.getResponse().getStatus())) {
                mHasSurplus = true;
            }
            return super.messageComplete();
        }
    }
}
