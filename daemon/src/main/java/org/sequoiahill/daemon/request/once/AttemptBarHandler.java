package org.sequoiahill.daemon.request.once;

import com.fasterxml.jackson.core.JacksonException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.request.Refusal;

/** Handles requests to this agent to bar an attempt. */
public final class AttemptBarHandler extends Handler.Abstract.NonBlocking {
    private final AttemptTable mTable;

    private AttemptBarHandler(AttemptTable table) {
        mTable = table;
    }

    /** Returns a handler that bars attempts in an agent's table. */
    public static AttemptBarHandler over(AttemptTable table) {
        return new AttemptBarHandler(table);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        if (!Request.getPathInContext(request).equals(BarVerdictCodec.PATH)) {
            return false;
        }
        String value = String.valueOf(request.getHeaders().get(AttemptTicket.HEADER));
        Optional<AttemptTicket> ticket = AttemptTicket.parse(value);
        if (ticket.isEmpty()) {
            Refusal.invalid(400, "bad_ticket", "the ticket is malformed").write(response, callback);
            return true;
        }
        write(mTable.bar(ticket.get()), response, callback);
        return true;
    }

    private static void write(BarVerdict verdict, Response response, Callback callback)
            throws JacksonException {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(BarVerdictCodec.encode(verdict)), callback);
    }
}
