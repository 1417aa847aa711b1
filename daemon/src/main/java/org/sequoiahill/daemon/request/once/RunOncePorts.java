package org.sequoiahill.daemon.request.once;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiahill.protocol.gen.ClaimReply;

/** What the entry can do about one call that may run once; a failed future is a lost answer. */
public interface RunOncePorts {
    /** Commits a claim. */
    CompletableFuture<ClaimReply> claim(Holder holder);

    /** Returns what is recorded. */
    CompletableFuture<ClaimReply> lookUp(Holder holder);

    /** Gives a claim back. */
    CompletableFuture<ClaimReply> release(Holder holder);

    /** Records an answer, or that it can't be known where empty. */
    CompletableFuture<ClaimReply> complete(Holder holder, Optional<RecordedAnswer> answer);

    /** Asks an agent to bar an attempt; fails where the agent can't be asked. */
    CompletableFuture<BarVerdict> bar(Holder holder);

    /** Completes after a time. */
    CompletableFuture<Void> after(Duration time);
}
