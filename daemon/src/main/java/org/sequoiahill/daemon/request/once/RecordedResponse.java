package org.sequoiahill.daemon.request.once;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.sequoiahill.protocol.gen.Outcome;

/**
 * A complete response that is recorded, so that a resent request receives it again.
 *
 * @param status HTTP status
 * @param contentType content type; empty if the response had none
 * @param body complete body, read-only; use {@link ByteBuffer#slice()} to read it
 */
public record RecordedResponse(int status, String contentType, ByteBuffer body) {
    /** Maximum size of a recorded body in bytes. */
    public static final int MAX_BODY_BYTES = 64 << 10;

    private static final int BAD_GATEWAY = 502;

    /** Returns the response that a claim's record holds. */
    public static RecordedResponse of(Outcome outcome) {
        return of(outcome.getStatus(), outcome.getContentType(), outcome.getBody());
    }

    /** Returns a response; the caller must not modify {@code body} afterwards. */
    public static RecordedResponse of(int status, String contentType, byte[] body) {
        return new RecordedResponse(status, contentType, ByteBuffer.wrap(body).asReadOnlyBuffer());
    }

    /** Returns the response that is recorded instead of one whose body is too large. */
    public static RecordedResponse tooLarge(int status) {
        String body =
                "{\"error\":{\"code\":\"answer_too_large\",\"not_run\":false,\"message\":"
                        + "\"the request ran with status %d; its response exceeds %d bytes\"}}"
                                .formatted(status, MAX_BODY_BYTES);
        return of(BAD_GATEWAY, "application/json", body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the form that is stored in a claim's record. */
    public Outcome toOutcome() {
        return new Outcome(status, contentType, body.slice());
    }
}
