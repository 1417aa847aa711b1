package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** What reaches the runner of a group. */
sealed interface GroupEvent
        permits GroupEvent.Incoming,
                GroupEvent.Propose,
                GroupEvent.Read,
                GroupEvent.ChangeMembers,
                GroupEvent.TransferLeadership {
    /** A message of another store. */
    record Incoming(Message message) implements GroupEvent {}

    /** A payload to commit. */
    record Propose(ByteBuffer payload, CompletableFuture<Long> done) implements GroupEvent {}

    /** A read that must not be older than what was acknowledged. */
    record Read(CompletableFuture<Void> done) implements GroupEvent {}

    /** A change of members. */
    record ChangeMembers(Function<LogCore, Proposal> change, CompletableFuture<Long> done)
            implements GroupEvent {}

    /** Leadership is to move to a VM. */
    record TransferLeadership(String vm, CompletableFuture<Boolean> isStarted)
            implements GroupEvent {}
}
