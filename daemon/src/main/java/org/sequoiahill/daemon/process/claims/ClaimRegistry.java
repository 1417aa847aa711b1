package org.sequoiahill.daemon.process.claims;

import java.util.concurrent.CompletableFuture;
import org.sequoiahill.protocol.gen.ClaimReply;
import org.sequoiahill.protocol.gen.ClaimRequest;
import org.sequoiahill.protocol.gen.CompleteRequest;
import org.sequoiahill.protocol.gen.ReleaseRequest;

/**
 * Durable claims of calls that may run once.
 *
 * <p>A reply with status UNAVAILABLE, and a failed future, mean that no majority has answered; what
 * was asked may still be committed later, so that a caller must look up or repeat with the same
 * attempt.
 */
public interface ClaimRegistry {
    /** Claims a key for an attempt; the same attempt may ask again. */
    CompletableFuture<ClaimReply> claim(ClaimRequest request);

    /** Returns what is recorded for a key, as of the last commit. */
    CompletableFuture<ClaimReply> lookUp(ClaimRequest request);

    /** Gives a claim back whose attempt has certainly not run and never will. */
    CompletableFuture<ClaimReply> release(ReleaseRequest request);

    /** Records the outcome of an attempt, or that it can't be known. */
    CompletableFuture<ClaimReply> complete(CompleteRequest request);
}
