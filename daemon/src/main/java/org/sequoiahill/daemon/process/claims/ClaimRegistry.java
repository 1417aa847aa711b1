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
    /**
     * Claims a key for an attempt; the same attempt may ask again.
     *
     * <p>CLAIMED: the attempt holds the key. HELD: another attempt does, which the reply names.
     * COMPLETED: the reply carries the outcome. OUTCOME_UNKNOWN: the call may have run and never
     * runs again. MISMATCH: the key was claimed with other content. EXPIRED: the outcome is no
     * longer kept, or this very attempt was released; the call must not run.
     */
    CompletableFuture<ClaimReply> claim(ClaimRequest request);

    /** Returns what is recorded for a key, as of the last commit; FREE where nobody holds it. */
    CompletableFuture<ClaimReply> lookUp(ClaimRequest request);

    /**
     * Gives a claim back whose attempt has certainly not run and never will.
     *
     * <p>FREE where the attempt holds the key no longer, or never did; a late claim of the same
     * attempt is refused as EXPIRED. Otherwise what is recorded, unchanged.
     */
    CompletableFuture<ClaimReply> release(ReleaseRequest request);

    /**
     * Records the outcome of an attempt, or that it can't be known; the first record wins.
     *
     * <p>The reply holds what is recorded: COMPLETED with the first outcome, or OUTCOME_UNKNOWN,
     * also where the body is larger than {@link ClaimLimits#outcomeBytes}. HELD, FREE or EXPIRED
     * where the attempt doesn't hold the key; nothing is recorded then.
     */
    CompletableFuture<ClaimReply> complete(CompleteRequest request);
}
