package org.sequoiahill.daemon.process.log;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A log that holds an entry once a majority of the stores has synced it. */
public interface ReplicatedLog {
    /**
     * Commits and applies a payload; completes with its index once it is applied here.
     *
     * <p>Fails with {@link LogFailure}; all kinds but {@code OUTCOME_UNKNOWN} mean that the payload
     * is not and never will be in the log.
     */
    CompletableFuture<Long> propose(byte[] payload);

    /**
     * Completes once the state here holds all that was acknowledged before this call; a read that
     * follows is not older than that. Fails with {@link LogFailure} where this store doesn't lead.
     */
    CompletableFuture<Void> confirmLeadership();

    /** Returns whether this process leads the log and no other can lead it now. */
    boolean isLeader();

    /** Returns the current term. */
    long term();

    /** Returns the VM of the leader, where one is known. */
    Optional<String> leaderVm();
}
