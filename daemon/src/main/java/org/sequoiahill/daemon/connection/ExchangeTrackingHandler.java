package org.sequoiahill.daemon.connection;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Predicate;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.connection.ExchangeTable.Report;

/**
 * Echoes the id of each request from a peer in its response, tracks these exchanges and reports
 * their status to peers.
 *
 * <p>A peer queries the status by a POST to {@value #QUERY_PATH} over a separate connection. An
 * exchange that has certainly not started is then barred.
 */
public final class ExchangeTrackingHandler extends Handler.Wrapper {
    /** Path of status queries. */
    static final String QUERY_PATH = "/exchanges/ask";

    /** Header of a status query: time since the exchange was sent, in milliseconds. */
    static final String AGE_HEADER = "Sequoia-Exchange-Age";

    private final String mIdHeader;
    private final Predicate<Request> mIsFromPeer;
    private final ExchangeTable mTable;
    private final Refuser mRefuser;

    private ExchangeTrackingHandler(
            String idHeader,
            Predicate<Request> isFromPeer,
            ExchangeTable table,
            Refuser refuser,
            Handler handler) {
        super(handler);
        mIdHeader = idHeader;
        mIsFromPeer = isFromPeer;
        mTable = table;
        mRefuser = refuser;
    }

    /** Refuses a request whose exchange was barred or has started before. */
    @FunctionalInterface
    public interface Refuser {
        /**
         * Writes the refusal as the complete response.
         *
         * @param isBarred whether the exchange was barred, so that the request has not run; if not,
         *     it has started before
         */
        void refuse(boolean isBarred, Response response, Callback callback);
    }

    /**
     * Returns a handler that wraps another.
     *
     * @param idHeader header that carries the id of a request
     * @param isFromPeer whether a request comes from another process of the system
     * @param table exchanges of this process
     * @param refuser refuses requests whose exchange was barred or has started before
     * @param handler handler of all other requests
     */
    public static ExchangeTrackingHandler around(
            String idHeader,
            Predicate<Request> isFromPeer,
            ExchangeTable table,
            Refuser refuser,
            Handler handler) {
        return new ExchangeTrackingHandler(idHeader, isFromPeer, table, refuser, handler);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String id = request.getHeaders().get(mIdHeader);
        if (Request.getPathInContext(request).equals(QUERY_PATH)) {
            answerQuery(String.valueOf(id), request, response, callback);
            return true;
        }
        if (id == null || !mIsFromPeer.test(request)) {
            return super.handle(request, response, callback);
        }
        response.getHeaders().put(mIdHeader, id);
        if (!mTable.begin(id, () -> Response.getContentBytesWritten(response))) {
            mRefuser.refuse(mTable.isBarred(id), response, callback);
            return true;
        }
        Request.addCompletionListener(request, failure -> mTable.end(id));
        return super.handle(request, response, callback);
    }

    private void answerQuery(String id, Request request, Response response, Callback callback) {
        Report report = mTable.reportOrBar(id, ageOf(request));
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
        byte[] body = (report.state() + " " + report.sent()).getBytes(StandardCharsets.US_ASCII);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /**
     * Returns the age that the peer states; {@link ExchangeTable#RETENTION} if it is missing or
     * malformed.
     */
    private static Duration ageOf(Request request) {
        try {
            return Duration.ofMillis(
                    Long.parseLong(String.valueOf(request.getHeaders().get(AGE_HEADER))));
        } catch (NumberFormatException e) {
            return ExchangeTable.RETENTION;
        }
    }
}
