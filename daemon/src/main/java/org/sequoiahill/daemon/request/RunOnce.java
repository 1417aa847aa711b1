package org.sequoiahill.daemon.request;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;

/** Ensures that requests that must not be repeated run at most once. */
public interface RunOnce {
    /** What an entry does with an attempt whose endpoint is chosen. */
    sealed interface Decision {
        /**
         * Sends the attempt.
         *
         * @param headers headers to add for the agent
         */
        record Send(HttpFields headers) implements Decision {}

        /** Refuses the request without sending the attempt. */
        record Refuse(Refusal refusal) implements Decision {}

        /**
         * Responds with an earlier recorded response.
         *
         * @param status HTTP status
         * @param headers headers of the response
         * @param body body of the response
         */
        record Replay(int status, HttpFields headers, ByteBuffer body) implements Decision {}
    }

    /**
     * Claims the request, if it must not be repeated, before the first byte of an attempt is sent;
     * returns what to do with the attempt.
     */
    CompletableFuture<Decision> claim(RoutedRequest request, Attempt attempt);

    /**
     * Determines the final outcome of an attempt before the entry responds or retries. May turn an
     * unknown outcome into a known one.
     */
    CompletableFuture<Outcome> settle(RoutedRequest request, Attempt attempt, Outcome outcome);

    /** Returns an instance that claims nothing and sends every attempt. */
    static RunOnce none() {
        return new RunOnce() {
            @Override
            public CompletableFuture<Decision> claim(RoutedRequest request, Attempt attempt) {
                return CompletableFuture.completedFuture(new Decision.Send(HttpFields.EMPTY));
            }

            @Override
            public CompletableFuture<Outcome> settle(
                    RoutedRequest request, Attempt attempt, Outcome outcome) {
                return CompletableFuture.completedFuture(outcome);
            }
        };
    }
}
