package org.sequoiahill.daemon.request.once;

import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.BodyReader;
import org.sequoiahill.daemon.request.AgentHooks;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.Refusal;

/** Starts each attempt that carries a ticket at most once and records its complete response. */
public final class AttemptRecordingHooks implements AgentHooks {
    private final AttemptTable mTable;

    private AttemptRecordingHooks(AttemptTable table) {
        mTable = table;
    }

    /** Returns hooks that record attempts in an agent's table. */
    public static AttemptRecordingHooks over(AttemptTable table) {
        return new AttemptRecordingHooks(table);
    }

    @Override
    public Optional<Refusal> begin(Request request) {
        String value = request.getHeaders().get(AttemptTicket.HEADER);
        if (value == null) {
            return Optional.empty();
        }
        Optional<AttemptTicket> ticket = AttemptTicket.parse(value);
        if (ticket.isEmpty()) {
            return Optional.of(Refusal.invalid(400, "bad_ticket", "the ticket is malformed"));
        }
        return switch (mTable.start(ticket.get())) {
            case STARTED -> Optional.empty();
            case ALREADY_STARTED ->
                    Optional.of(Refusal.outcomeUnknown("the attempt has started before"));
            case BARRED -> notRun("attempt_barred", "the attempt is barred");
            case OTHER_INCARNATION -> notRun("other_incarnation", "the agent has restarted");
            case OUTSIDE_TIME_WINDOW ->
                    notRun(
                            "attempt_out_of_time",
                            "the attempt's time is outside the agent's time window");
            case FULL -> notRun("attempts_full", "the agent's table of attempts is full");
        };
    }

    @Override
    public void relay(
            Request request,
            Response received,
            Content.Source content,
            org.eclipse.jetty.server.Response response,
            Callback callback) {
        Optional<AttemptTicket> ticket = ticketOf(request);
        if (ticket.isEmpty()) {
            HttpForwarder.relay(received, content, response, callback);
            return;
        }
        BodyReader.read(content, RecordedResponse.MAX_BODY_BYTES)
                .whenComplete(
                        (body, failure) -> {
                            if (isTruncated(failure)) {
                                mTable.markLost(ticket.get());
                                Refusal.outcomeUnknown("the endpoint's response is incomplete")
                                        .write(response, callback);
                                return;
                            }
                            RecordedResponse recorded = record(received, body, failure);
                            mTable.complete(ticket.get(), recorded);
                            write(ticket.get(), recorded, response, callback);
                        });
    }

    @Override
    public void failed(Request request, Throwable cause, boolean isNotRun) {
        Optional<AttemptTicket> ticket = ticketOf(request);
        if (ticket.isEmpty()) {
            return;
        }
        if (isNotRun) {
            mTable.markNotRun(ticket.get());
        } else {
            mTable.markLost(ticket.get());
        }
    }

    private static Optional<AttemptTicket> ticketOf(Request request) {
        String value = request.getHeaders().get(AttemptTicket.HEADER);
        return value == null ? Optional.empty() : AttemptTicket.parse(value);
    }

    private static boolean isTruncated(@Nullable Throwable failure) {
        return failure != null && !(failure instanceof BodyReader.BodyTooLargeException);
    }

    private static RecordedResponse record(
            Response received, byte[] body, @Nullable Throwable failure) {
        if (failure != null) {
            return RecordedResponse.tooLarge(received.getStatus());
        }
        String contentType = received.getHeaders().get(HttpHeader.CONTENT_TYPE);
        return RecordedResponse.of(
                received.getStatus(), contentType == null ? "" : contentType, body);
    }

    private static void write(
            AttemptTicket ticket,
            RecordedResponse recorded,
            org.eclipse.jetty.server.Response response,
            Callback callback) {
        response.setStatus(recorded.status());
        response.getHeaders().put(AttemptTicket.HEADER, ticket.toString());
        if (!recorded.contentType().isEmpty()) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, recorded.contentType());
        }
        response.write(true, recorded.body().slice(), callback);
    }

    private static Optional<Refusal> notRun(String code, String message) {
        return Optional.of(Refusal.unavailable(code, message));
    }
}
