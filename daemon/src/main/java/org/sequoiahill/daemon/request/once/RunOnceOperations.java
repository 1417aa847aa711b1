package org.sequoiahill.daemon.request.once;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiahill.protocol.gen.ClaimReply;

/** What the entry can do about one call that may run once; a failed future is a lost answer. */
public interface RunOnceOperations {
    /** Commits a claim. */
    CompletableFuture<ClaimReply> claim(ClaimHolder holder);

    /** Returns what is recorded. */
    CompletableFuture<ClaimReply> lookUp(ClaimHolder holder);

    /** Gives a claim back. */
    CompletableFuture<ClaimReply> release(ClaimHolder holder);

    /** Records an answer, or that it can't be known where empty. */
    CompletableFuture<ClaimReply> complete(ClaimHolder holder, Optional<RecordedResponse> answer);

    /** Asks an agent to bar an attempt; fails where the agent can't be asked. */
    CompletableFuture<BarVerdict> bar(ClaimHolder holder);

    /** Completes after a time. */
    CompletableFuture<Void> delay(Duration time);
}
