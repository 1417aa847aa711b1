package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** An event for the thread that runs a group. */
sealed interface GroupEvent
        permits GroupEvent.Incoming,
                GroupEvent.Propose,
                GroupEvent.Read,
                GroupEvent.ChangeMembers,
                GroupEvent.TransferLeadership {
    /** A message from another store was received. */
    record Incoming(Message message) implements GroupEvent {}

    /** A payload is proposed. */
    record Propose(ByteBuffer payload, CompletableFuture<Long> done) implements GroupEvent {}

    /** A read is requested that must see everything acknowledged before it. */
    record Read(CompletableFuture<Void> done) implements GroupEvent {}

    /** A change of the members is requested. */
    record ChangeMembers(Function<LogCore, Proposal> change, CompletableFuture<Long> done)
            implements GroupEvent {}

    /** A transfer of leadership to the store on a VM is requested. */
    record TransferLeadership(String vm, CompletableFuture<Boolean> isStarted)
            implements GroupEvent {}
}
