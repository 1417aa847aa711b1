package org.sequoiahill.daemon.connection;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A response whose body states its end, by its length or by chunks, so that one that breaks off is
 * seen to be cut.
 *
 * <p>The server would end a body of unknown length by closing the connection, where that is to be
 * closed anyway.
 */
public final class FramedResponse extends Response.Wrapper {
    private FramedResponse(Request request, Response wrapped) {
        super(request, wrapped);
    }

    /** Returns a framed response over another one. */
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
