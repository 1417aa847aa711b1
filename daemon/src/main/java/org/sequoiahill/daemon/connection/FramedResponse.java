package org.sequoiahill.daemon.connection;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A response whose body has an explicit end, by its length or by chunked encoding, so that the
 * receiver detects a truncated one.
 *
 * <p>If a connection is to be closed after a response of unknown length, Jetty marks the end of the
 * body only by closing the connection, which a receiver can't distinguish from a truncation.
 */
public final class FramedResponse extends Response.Wrapper {
    private FramedResponse(Request request, Response wrapped) {
        super(request, wrapped);
    }

    /** Returns a response that wraps {@code wrapped}. */
    public static FramedResponse of(Request request, Response wrapped) {
        return new FramedResponse(request, wrapped);
    }

    @Override
    public void write(boolean isLast, ByteBuffer content, Callback callback) {
        if (!isLast && !isCommitted() && !getHeaders().contains(HttpHeader.CONTENT_LENGTH)) {
            getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
        }
        super.write(isLast, content, callback);
    }
}
