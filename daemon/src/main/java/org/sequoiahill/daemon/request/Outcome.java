package org.sequoiahill.daemon.request;

import java.time.Duration;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;

/** What became of an attempt, as far as the entry knows. */
public sealed interface Outcome {
    /**
     * The headers of an answer have come, and the content must be read.
     *
     * @param answer status and headers
     * @param content body, not yet read
     */
    record Answered(Response answer, Content.Source content) implements Outcome {}

    /**
     * It is proved that the request has not run.
     *
     * @param code short name of the cause
     * @param retryAfter when the asked side wants to be asked again; zero where it has not said
     */
    record NotRun(String code, Duration retryAfter) implements Outcome {
        /** Code where nothing listened at the address. */
        public static final String UNREACHABLE = "unreachable";

        /** Returns whether nothing listened at the address. */
        public boolean isUnreachable() {
            return code.equals(UNREACHABLE);
        }
    }

    /**
     * The request may have run.
     *
     * @param cause what broke
     */
    record Unknown(Throwable cause) implements Outcome {}
}
