package org.sequoiahill.daemon.request.once;

import com.fasterxml.jackson.core.JacksonException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.request.Refusal;

/**
 * Handles requests of other data centres' entries to bar an attempt: forwards each to the agent,
 * which is in this data centre.
 */
public final class AttemptBarRelayHandler extends Handler.Abstract.NonBlocking {
    private final AttemptBarClient mClient;

    private AttemptBarRelayHandler(AttemptBarClient client) {
        mClient = client;
    }

    /** Returns a handler that forwards requests by {@code client}. */
    public static AttemptBarRelayHandler over(AttemptBarClient client) {
        return new AttemptBarRelayHandler(client);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(BarVerdictCodec.PATH)) {
            return false;
        }
        String vm = request.getHeaders().get(AttemptBarClient.AGENT_VM);
        Optional<AttemptTicket> ticket =
                AttemptTicket.parse(String.valueOf(request.getHeaders().get(AttemptTicket.HEADER)));
        if (vm == null || ticket.isEmpty()) {
            Refusal.invalid(400, "bad_ticket", "the ticket is malformed").write(response, callback);
            return true;
        }
        mClient.barInThisDataCentre(vm, ticket.get())
                .whenComplete((verdict, failure) -> respond(verdict, failure, response, callback));
        return true;
    }

    private static void respond(
            BarVerdict verdict, Throwable failure, Response response, Callback callback) {
        if (failure != null) {
            Refusal.unavailable(
                            "agent_unreachable", "the agent is unreachable from this data centre")
                    .write(response, callback);
            return;
        }
        try {
            response.write(true, ByteBuffer.wrap(BarVerdictCodec.encode(verdict)), callback);
        } catch (JacksonException e) {
            callback.failed(e);
        }
    }
}
