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
 * An error response that this system generates, instead of relaying an endpoint's response.
 *
 * @param status HTTP status
 * @param code short name of the cause, for programs
 * @param message description of the cause, for people
 * @param isNotRun whether the request has certainly not run
 * @param retryAfter time after which the caller may retry; zero if a retry does not help
 */
public record Refusal(
        int status, String code, String message, boolean isNotRun, Duration retryAfter) {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    /** Code for a request that was in flight when its endpoint died. */
    public static final String ENDPOINT_DIED = "endpoint_died";

    private static final int BAD_GATEWAY = 502;
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    /** Returns a refusal of an invalid request, which has not run. */
    public static Refusal invalid(int status, String code, String message) {
        return new Refusal(status, code, message, true, Duration.ZERO);
    }

    /**
     * Returns a refusal of a request that can't be processed now and has not run; the caller may
     * retry after the default time.
     */
    public static Refusal unavailable(String code, String message) {
        return new Refusal(503, code, message, true, DEFAULT_RETRY_AFTER);
    }

    /**
     * Returns a refusal of a request that can't be processed now and has not run.
     *
     * @param retryAfter time after which the caller may retry; zero to state none
     */
    public static Refusal overloaded(String code, String message, Duration retryAfter) {
        return new Refusal(503, code, message, true, retryAfter);
    }

    /** Returns a refusal of a request that may have run. */
    public static Refusal outcomeUnknown(String message) {
        return new Refusal(BAD_GATEWAY, "outcome_unknown", message, false, Duration.ZERO);
    }

    /**
     * Returns a refusal of a request for which no response will come.
     *
     * @param statusIfPossiblyRun status if it may have run
     */
    public static Refusal unanswered(String code, boolean mayHaveRun, int statusIfPossiblyRun) {
        return mayHaveRun
                ? new Refusal(statusIfPossiblyRun, code, "no response", false, Duration.ZERO)
                : overloaded(code, "the request was not sent", Duration.ZERO);
    }

    /**
     * Returns a refusal of a request that may have run on an endpoint that failed to respond. The
     * endpoint counts as dead if it closed the connection, but not after a timeout or a response
     * with the id of another request.
     */
    public static Refusal endpointLost(Throwable failure) {
        boolean hasDied =
                failure instanceof EOFException || failure instanceof ClosedChannelException;
        return hasDied
                ? new Refusal(
                        BAD_GATEWAY,
                        ENDPOINT_DIED,
                        "the endpoint died while it processed the request",
                        false,
                        Duration.ZERO)
                : outcomeUnknown("the endpoint failed before its response was complete");
    }

    /** Returns a copy for a request of which an earlier attempt may have run. */
    public Refusal withPossibleExecution() {
        return new Refusal(status, code, message, false, retryAfter);
    }

    /** Writes the refusal as the complete response; the retry time in whole seconds, rounded up. */
    public void write(Response response, Callback callback) {
        long seconds = Math.max(1, retryAfter.plusMillis(999).toSeconds());
        write(response, String.valueOf(seconds), callback);
    }

    /**
     * Writes the refusal as the complete response.
     *
     * @param retryAfterText value of the Retry-After header, used if {@link #retryAfter} is not
     *     zero
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
