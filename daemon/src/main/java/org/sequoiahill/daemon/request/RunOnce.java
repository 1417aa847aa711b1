package org.sequoiahill.daemon.request;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;

/** Sees to it that a call that may run once runs at most once. */
public interface RunOnce {
    /** What an entry does with a call whose endpoint is chosen. */
    sealed interface Decision {
        /**
         * Send the attempt.
         *
         * @param headers headers to add for the agent
         */
        record Send(HttpFields headers) implements Decision {}

        /** Answer the caller without sending. */
        record Refuse(Refusal refusal) implements Decision {}

        /**
         * Give the caller an answer that was recorded earlier.
         *
         * @param status HTTP status
         * @param headers headers of the answer
         * @param body body of the answer
         */
        record Replay(int status, HttpFields headers, ByteBuffer body) implements Decision {}
    }

    /** Claims the call before the first byte of an attempt goes out. */
    CompletableFuture<Decision> claim(RoutedRequest request, Attempt attempt);

    /**
     * Settles what became of an attempt, before the entry answers or tries elsewhere; an unknown
     * outcome may become a known one.
     */
    CompletableFuture<Outcome> settle(RoutedRequest request, Attempt attempt, Outcome outcome);

    /** Returns a claimer that lets everything pass. */
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
