package org.sequoiahill.daemon.request.once;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiahill.protocol.gen.ClaimReply;

/**
 * Operations of an entry on one request that must run at most once. If a returned future fails, the
 * operation may nevertheless have taken effect.
 */
public interface RunOnceOperations {
    /** Claims the request for an attempt; the reply names the holder if it is another one. */
    CompletableFuture<ClaimReply> claim(ClaimHolder holder);

    /** Returns the claim's record. */
    CompletableFuture<ClaimReply> lookUp(ClaimHolder holder);

    /** Releases a claim. */
    CompletableFuture<ClaimReply> release(ClaimHolder holder);

    /** Records an attempt's response; an empty one records that the outcome is unknown. */
    CompletableFuture<ClaimReply> complete(ClaimHolder holder, Optional<RecordedResponse> response);

    /**
     * Requests an agent to bar an attempt, so that one that has not started never will; returns its
     * state, or fails if the agent does not reply.
     */
    CompletableFuture<BarVerdict> bar(ClaimHolder holder);

    /** Returns a future that completes after a time. */
    CompletableFuture<Void> delay(Duration time);
}
