package org.sequoiahill.daemon.process.log;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A log whose entries are committed once a majority of the voters has synced them. */
public interface ReplicatedLog {
    /**
     * Proposes a payload; completes with its index once it is committed and applied here.
     *
     * <p>Fails with {@link LogFailure}; all kinds but {@code OUTCOME_UNKNOWN} mean that the payload
     * is not and never will be in the log.
     */
    CompletableFuture<Long> propose(byte[] payload);

    /**
     * Completes once the state of this store includes everything acknowledged before this call, so
     * that a read that follows is linearizable.
     *
     * <p>Fails with {@link LogFailure} if this store doesn't lead, has stopped or is overloaded.
     */
    CompletableFuture<Void> confirmLeadership();

    /**
     * Returns whether this process leads the log and its lease has not expired, so that no other
     * process can lead.
     *
     * <p>The lease is measured by the monotonic clock, which stops while a VM is suspended. After a
     * suspension this may briefly return true although another process leads.
     */
    boolean isLeader();

    /** Returns the current term. */
    long term();

    /** Returns the VM of the leader, if known. */
    Optional<String> leaderVm();
}
