package org.sequoiahill.daemon.process.claims;

import java.util.concurrent.CompletableFuture;
import org.sequoiahill.protocol.gen.ClaimReply;
import org.sequoiahill.protocol.gen.ClaimRequest;
import org.sequoiahill.protocol.gen.CompleteRequest;
import org.sequoiahill.protocol.gen.ReleaseRequest;

/**
 * Durable claims of calls that may run at most once.
 *
 * <p>A reply with status UNAVAILABLE or a failed future means that no leader or no majority has
 * responded, the limits leave no room for the record, or the request is invalid. The caller can't
 * tell which, and the request may still be committed later, so the caller must look the key up or
 * retry with the same attempt number.
 */
public interface ClaimRegistry {
    /**
     * Claims a key for an attempt; idempotent for the same attempt.
     *
     * <p>CLAIMED: the attempt holds the key. HELD: another attempt holds it, which the reply names.
     * COMPLETED: the reply contains the outcome. OUTCOME_UNKNOWN: the call may have run and must
     * not run again. MISMATCH: the key was claimed with different content. EXPIRED: the record is
     * no longer kept, or this attempt was released; the call must not run.
     */
    CompletableFuture<ClaimReply> claim(ClaimRequest request);

    /**
     * Returns the record of a key as of the last commit.
     *
     * <p>HELD, COMPLETED, OUTCOME_UNKNOWN: the state of the record. FREE: there is none, or its
     * claim was released. EXPIRED: the record is no longer kept.
     */
    CompletableFuture<ClaimReply> lookUp(ClaimRequest request);

    /**
     * Releases the claim of an attempt that certainly has not run and never will.
     *
     * <p>FREE: the attempt no longer holds the key, or never held it; a late claim of the same
     * attempt is refused as EXPIRED, unless the existing record is the release of another attempt.
     * HELD, COMPLETED, OUTCOME_UNKNOWN: the state of the existing record, which is unchanged.
     * EXPIRED: the record is no longer kept.
     */
    CompletableFuture<ClaimReply> release(ReleaseRequest request);

    /**
     * Records the outcome of an attempt, or that it is unknown; the first record wins.
     *
     * <p>The reply contains the record: COMPLETED with the first outcome, or OUTCOME_UNKNOWN, which
     * is also recorded if the body exceeds {@link ClaimLimits#outcomeBytes}. HELD, FREE or EXPIRED
     * mean that the attempt does not hold the key and nothing was recorded.
     */
    CompletableFuture<ClaimReply> complete(CompleteRequest request);
}
