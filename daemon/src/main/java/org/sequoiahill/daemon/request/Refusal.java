package org.sequoiahill.daemon.request;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.EOFException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A final answer that the system gives by itself.
 *
 * @param status HTTP status
 * @param code short name of the cause
 * @param message what a person should know
 * @param isNotRun whether the request has certainly not run
 * @param retryAfter when to come back; zero where coming back does not help
 */
public record Refusal(
        int status, String code, String message, boolean isNotRun, Duration retryAfter) {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    /** Code of the answer to a request that was in flight when its endpoint died. */
    public static final String ENDPOINT_DIED = "endpoint_died";

    private static final int BAD_GATEWAY = 502;
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    /** Returns a refusal of a faulty request, which has not run. */
    public static Refusal invalid(int status, String code, String message) {
        return new Refusal(status, code, message, true, Duration.ZERO);
    }

    /** Returns a refusal for want of endpoints or room, which has not run. */
    public static Refusal unavailable(String code, String message) {
        return new Refusal(503, code, message, true, DEFAULT_RETRY_AFTER);
    }

    /** Returns a refusal for want of room, with the time in which there may be some. */
    public static Refusal overloaded(String code, String message, Duration retryAfter) {
        return new Refusal(503, code, message, true, retryAfter);
    }

    /** Returns the answer to a request that may have run. */
    public static Refusal outcomeUnknown(String message) {
        return new Refusal(BAD_GATEWAY, "outcome_unknown", message, false, Duration.ZERO);
    }

    /**
     * Returns the answer to a request that may have run on an endpoint that was lost. One that
     * closed the connection has died; a slow or crossed one has not.
     */
    public static Refusal endpointLost(Throwable failure) {
        boolean hasDied =
                failure instanceof EOFException || failure instanceof ClosedChannelException;
        return hasDied
                ? new Refusal(BAD_GATEWAY, ENDPOINT_DIED, "the endpoint died", false, Duration.ZERO)
                : outcomeUnknown("the endpoint was lost");
    }

    /** Returns this refusal for a request of which an earlier attempt may have run. */
    public Refusal withPossibleExecution() {
        return new Refusal(status, code, message, false, retryAfter);
    }

    /** Writes the refusal as the whole response. */
    public void write(Response response, Callback callback) {
        long seconds = Math.max(1, retryAfter.plusMillis(999).toSeconds());
        write(response, String.valueOf(seconds), callback);
    }

    /**
     * Writes the refusal as the whole response.
     *
     * @param retryAfterText when to come back, as callers of this response read it
     */
    public void write(Response response, String retryAfterText, Callback callback) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(RequestHeaders.REFUSAL, code);
        if (isNotRun) {
            response.getHeaders().put(RequestHeaders.NOT_RUN, "true");
        }
        if (status == BAD_GATEWAY && !isNotRun) {
            response.getHeaders().put(RequestHeaders.OUTCOME_UNKNOWN, code);
        }
        if (!retryAfter.isZero()) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, retryAfterText);
        }
        ObjectNode error = MAPPER.createObjectNode();
        error.putObject("error").put("code", code).put("message", message).put("not_run", isNotRun);
        byte[] body = error.toString().getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(body), callback);
    }
}
