package org.sequoiahill.daemon.request.once;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.sequoiahill.protocol.gen.Outcome;

/**
 * A whole answer that is kept, so that a resend gets it again.
 *
 * @param status HTTP status
 * @param contentType content type; empty where the answer had none
 * @param body whole body; not to be changed
 */
public record RecordedAnswer(int status, String contentType, byte[] body) {
    /** Largest body that is kept, in bytes. */
    public static final int MAX_BODY_BYTES = 256 << 10;

    /** Returns the answer that a claim's record holds. */
    public static RecordedAnswer of(Outcome outcome) {
        return new RecordedAnswer(
                outcome.getStatus(), outcome.getContentType(), outcome.getBody());
    }

    /** Returns the form that a claim's record holds. */
    public Outcome toOutcome() {
        return new Outcome(status, contentType, ByteBuffer.wrap(body));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RecordedAnswer answer
                && status == answer.status
                && contentType.equals(answer.contentType)
                && Arrays.equals(body, answer.body);
    }

    @Override
    public int hashCode() {
        return 31 * status + Arrays.hashCode(body);
    }
}
