package org.sequoiahill.daemon.request;

import java.time.Duration;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;

/** Outcome of an attempt, as far as the entry knows. */
public sealed interface Outcome {
    /**
     * The headers of a response have arrived; the receiver must read the content.
     *
     * @param response status and headers
     * @param content body, not yet read
     */
    record Responded(Response response, Content.Source content) implements Outcome {}

    /**
     * The request has certainly not run.
     *
     * @param code short name of the cause
     * @param retryAfter time after which the receiver accepts a retry; zero if it stated none
     */
    record NotRun(String code, Duration retryAfter) implements Outcome {
        /** Code for a request that did not reach its address. */
        public static final String UNREACHABLE = "unreachable";

        /** Returns whether the request did not reach its address. */
        public boolean isUnreachable() {
            return code.equals(UNREACHABLE);
        }
    }

    /**
     * The request may have run.
     *
     * @param cause failure after which the outcome is unknown
     */
    record Unknown(Throwable cause) implements Outcome {}
}
