package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * A message between two stores of a group.
 *
 * @param from storage of the sender
 * @param to storage that the message is for; any other drops it
 * @param cluster number of the group of the sender
 * @param term synced term of the sender
 * @param start what the sender's storage held when its process started
 * @param body what is said
 */
public record Message(StoreId from, StoreId to, long cluster, long term, Start start, Body body) {
    /**
     * What a process found in its storage.
     *
     * @param count how often the storage has been opened
     * @param nonce random number of the process
     * @param term term found
     * @param lastIndex last index found
     */
    public record Start(long count, long nonce, long term, long lastIndex) {}

    /** What a message says. */
    public sealed interface Body
            permits VoteRequest,
                    VoteReply,
                    Append,
                    AppendReply,
                    SnapshotChunk,
                    SnapshotReply,
                    TransferNow,
                    Hello,
                    HelloReply,
                    Refused {}

    /**
     * Asks for a vote.
     *
     * @param forTerm term of the election
     * @param isPreVote whether only asked what the answer would be
     * @param isTransfer whether the leader itself has asked for the election
     * @param lastIndex last index of the candidate
     * @param lastTerm term of its last entry
     */
    public record VoteRequest(
            long forTerm, boolean isPreVote, boolean isTransfer, long lastIndex, long lastTerm)
            implements Body {}

    /**
     * Answers a {@link VoteRequest}.
     *
     * @param forTerm term of the election
     * @param isPreVote whether a pre-vote is answered
     * @param isGranted whether the vote is given
     */
    public record VoteReply(long forTerm, boolean isPreVote, boolean isGranted) implements Body {}

    /**
     * Entries after one that both logs should hold; without entries a heartbeat.
     *
     * @param previousIndex index before the entries
     * @param previousTerm term of the entry there
     * @param commitIndex what the leader knows to be committed
     * @param sentAt time of the leader's clock in nanoseconds, to be echoed
     * @param entries entries in order
     */
    public record Append(
            long previousIndex,
            long previousTerm,
            long commitIndex,
            long sentAt,
            List<Entry> entries)
            implements Body {}

    /**
     * Answers an {@link Append}; sent once the entries are synced.
     *
     * @param forTerm term of the append
     * @param isMatched whether the log held the previous entry
     * @param index last index known to match, or where to try next
     * @param sentAt echo
     */
    public record AppendReply(long forTerm, boolean isMatched, long index, long sentAt)
            implements Body {}

    /**
     * A part of a snapshot.
     *
     * @param index index of the snapshot
     * @param lastTerm term of the entry there
     * @param members members there
     * @param offset place of the part, in bytes
     * @param total bytes of the whole
     * @param data the part
     * @param sentAt echo
     */
    public record SnapshotChunk(
            long index,
            long lastTerm,
            Membership members,
            int offset,
            int total,
            ByteBuffer data,
            long sentAt)
            implements Body {}

    /**
     * Answers a {@link SnapshotChunk}.
     *
     * @param forTerm term of the leader
     * @param index index of the snapshot
     * @param nextOffset bytes held
     * @param isInstalled whether all that the snapshot covers is held and synced
     * @param sentAt echo
     */
    public record SnapshotReply(
            long forTerm, long index, int nextOffset, boolean isInstalled, long sentAt)
            implements Body {}

    /** Asks the receiver to hold an election at once. */
    public record TransferNow() implements Body {}

    /**
     * Tells that no leader sends anything to a store, whose data folder may be empty.
     *
     * @param address its control address
     */
    public record Hello(String address) implements Body {}

    /**
     * Answers a {@link Hello}.
     *
     * @param knownIncarnation incarnation of the VM that the group knows; 0 for none
     * @param isFounding whether the group holds nothing but its founding, which the receiver joins
     * @param members members as the sender knows them
     */
    public record HelloReply(long knownIncarnation, boolean isBootstrap, Membership members)
            implements Body {}

    /**
     * Tells a process that its storage is older than what it has acknowledged.
     *
     * @param nonce number of the process that is meant
     */
    public record Refused(long nonce) implements Body {}
}
