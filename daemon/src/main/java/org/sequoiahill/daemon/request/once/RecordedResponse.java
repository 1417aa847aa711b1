package org.sequoiahill.daemon.request.once;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.sequoiahill.protocol.gen.Outcome;

/**
 * A whole answer that is kept, so that a resend gets it again.
 *
 * @param status HTTP status
 * @param contentType content type; empty where the answer had none
 * @param body whole body, read-only; use {@link ByteBuffer#slice()} to read it
 */
public record RecordedResponse(int status, String contentType, ByteBuffer body) {
    /** Largest body that is kept, in bytes. */
    public static final int MAX_BODY_BYTES = 64 << 10;

    private static final int BAD_GATEWAY = 502;

    /** Returns the answer that a claim's record holds. */
    public static RecordedResponse of(Outcome outcome) {
        return of(outcome.getStatus(), outcome.getContentType(), outcome.getBody());
    }

    /** Returns an answer with a body that nobody changes any more. */
    public static RecordedResponse of(int status, String contentType, byte[] body) {
        return new RecordedResponse(status, contentType, ByteBuffer.wrap(body).asReadOnlyBuffer());
    }

    /** Returns what is kept in place of an answer whose body is over the bound. */
    public static RecordedResponse tooLarge(int status) {
        String body =
                "{\"error\":{\"code\":\"answer_too_large\",\"not_run\":false,\"message\":"
                        + "\"the call ran with status %d; its answer has over %d bytes\"}}"
                                .formatted(status, MAX_BODY_BYTES);
        return of(BAD_GATEWAY, "application/json", body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the form that a claim's record holds. */
    public Outcome toOutcome() {
        return new Outcome(status, contentType, body.slice());
    }
}
