package org.sequoiahill.daemon.process.log;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A log that holds an entry once a majority of the stores has synced it. */
public interface ReplicatedLog {
    /** Commits and applies a payload; completes with its index. */
    CompletableFuture<Long> propose(byte[] payload);

    /** Returns whether this process leads the log. */
    boolean isLeader();

    /** Returns the current term. */
    long term();

    /** Returns the VM of the leader, where one is known. */
    Optional<String> leaderVm();

    /** Receives committed payloads in the order of the log. */
    @FunctionalInterface
    interface Applier {
        /** Applies one committed payload. */
        void apply(long index, byte[] payload);
    }
}
