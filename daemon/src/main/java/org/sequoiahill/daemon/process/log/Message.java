package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * A message between two stores of a group.
 *
 * @param from VM and storage incarnation of the sender
 * @param to VM and storage incarnation of the receiver; any other store drops the message. In a
 *     hello the incarnation may be unknown
 * @param cluster number of the sender's group; 0 if it has not joined one
 * @param term current term of the sender, which it has synced
 * @param start what the sender's storage held when its process started
 * @param body content of the message
 */
public record Message(StoreId from, StoreId to, long cluster, long term, Start start, Body body) {
    /**
     * State of a store's storage when its process started.
     *
     * @param count how often the storage has been opened
     * @param nonce random number that identifies the process
     * @param term stored term
     * @param lastIndex index of the last stored entry
     */
    public record Start(long count, long nonce, long term, long lastIndex) {}

    /** Content of a message. */
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
     * Requests a vote.
     *
     * @param forTerm term of the election
     * @param isPreVote whether the candidate only asks if the vote would be granted
     * @param isTransfer whether the leader requested the election to transfer leadership
     * @param lastIndex index of the candidate's last entry
     * @param lastTerm term of that entry
     */
    public record VoteRequest(
            long forTerm, boolean isPreVote, boolean isTransfer, long lastIndex, long lastTerm)
            implements Body {}

    /**
     * Reply to a {@link VoteRequest}.
     *
     * @param forTerm term of the election
     * @param isPreVote whether this replies to a pre-vote
     * @param isGranted whether the vote is, or would be, granted
     */
    public record VoteReply(long forTerm, boolean isPreVote, boolean isGranted) implements Body {}

    /**
     * Entries to append after one that both logs should contain; a heartbeat if there are none.
     *
     * @param previousIndex index before the entries
     * @param previousTerm term of the entry at {@code previousIndex}
     * @param commitIndex commit index of the leader
     * @param sentAt time of the leader's monotonic clock in nanoseconds, echoed in the reply
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
     * Reply to an {@link Append}; sent once the entries are synced.
     *
     * @param forTerm term of the append
     * @param isMatched whether the log contained the previous entry; false also if the leader's
     *     term is outdated
     * @param index last index known to match; without a match, the previous index to try next
     * @param sentAt {@code sentAt} of the append
     */
    public record AppendReply(long forTerm, boolean isMatched, long index, long sentAt)
            implements Body {}

    /**
     * A chunk of a snapshot.
     *
     * @param index index of the snapshot
     * @param lastTerm term of the last entry that the snapshot includes
     * @param members members as of the snapshot
     * @param offset offset of the chunk, in bytes
     * @param total size of the snapshot, in bytes
     * @param data bytes of the chunk
     * @param sentAt time of the leader's monotonic clock in nanoseconds, echoed in the reply
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
     * Reply to a {@link SnapshotChunk}.
     *
     * @param forTerm term of the leader
     * @param index index of the snapshot
     * @param nextOffset number of bytes received
     * @param isInstalled whether the store has synced everything that the snapshot includes
     * @param sentAt {@code sentAt} of the chunk
     */
    public record SnapshotReply(
            long forTerm, long index, int nextOffset, boolean isInstalled, long sentAt)
            implements Body {}

    /** Asks the receiver to start an election at once, in order to transfer leadership to it. */
    public record TransferNow() implements Body {}

    /**
     * Announces a store that has no contact with a leader, and whose data folder may be empty.
     *
     * @param address control address of the store
     */
    public record Hello(String address) implements Body {}

    /**
     * Reply to a {@link Hello}.
     *
     * @param knownIncarnation incarnation of the receiver's VM known to the group; 0 if unknown
     * @param isBootstrap whether the group was bootstrapped with the receiver as a member, so that
     *     the receiver joins it by this message
     * @param members members known to the sender; those of the bootstrap if {@code isBootstrap}
     */
    public record HelloReply(long knownIncarnation, boolean isBootstrap, Membership members)
            implements Body {}

    /**
     * Refuses a process whose storage is older than what its store has reported as synced, or a
     * copy of storage that another process has opened.
     *
     * @param nonce number that identifies the refused process
     */
    public record Refused(long nonce) implements Body {}
}
