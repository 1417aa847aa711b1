package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Sends entries and snapshots from a leader to the other members, with limits on the size of
 * messages and on the appends in flight to each member.
 */
final class Replication {
    private static final int MAX_APPEND_BYTES = 1 << 20;
    private static final int MAX_CHUNK_BYTES = 256 << 10;
    private static final int MAX_APPENDS_IN_FLIGHT = 4;

    /** Number of heartbeat intervals after which an unanswered snapshot chunk is sent again. */
    private static final int RESEND_HEARTBEATS = 2;

    private final CoreState mState;

    private Replication(CoreState state) {
        mState = state;
    }

    static Replication of(CoreState state) {
        return new Replication(state);
    }

    /**
     * Sends the entries that the member lacks, or a snapshot if they are no longer in memory; sends
     * a new commit index on its own if no append is in flight.
     */
    void sendNew(StoreId id, Progress progress) {
        EntryLog log = mState.log();
        while (progress.nextIndex() <= log.lastIndex() && progress.maySend(MAX_APPENDS_IN_FLIGHT)) {
            if (log.termAt(progress.nextIndex() - 1) == EntryLog.UNKNOWN_TERM) {
                startSnapshotTransfer(id, progress);
                return;
            }
            List<Entry> entries =
                    log.slice(progress.nextIndex(), log.lastIndex(), MAX_APPEND_BYTES);
            sendAppend(id, progress, progress.nextIndex() - 1, entries);
            progress.sent(entries.get(entries.size() - 1).index());
        }
        if (progress.sentCommitIndex() < log.commitIndex() && progress.maySend(1)) {
            sendAppend(id, progress, progress.nextIndex() - 1, List.of());
        }
    }

    /**
     * Sends a heartbeat, whose reply shows whether earlier appends were lost.
     *
     * <p>During a snapshot transfer, also resends a chunk that is overdue. If the member needs a
     * snapshot, starts its transfer instead.
     */
    void sendHeartbeat(StoreId id, Progress progress) {
        EntryLog log = mState.log();
        Optional<Progress.SnapshotTransfer> transfer = progress.snapshotTransfer();
        if (transfer.isPresent()) {
            sendAppend(id, progress, log.baseIndex(), List.of());
            Duration resendAt =
                    transfer.get()
                            .sentAt()
                            .plus(mState.timing().heartbeat().multipliedBy(RESEND_HEARTBEATS));
            if (mState.now().compareTo(resendAt) > 0) {
                sendChunk(id, progress, transfer.get().snapshot(), transfer.get().offset());
            }
            return;
        }
        if (log.termAt(progress.nextIndex() - 1) == EntryLog.UNKNOWN_TERM) {
            startSnapshotTransfer(id, progress);
            return;
        }
        sendAppend(id, progress, progress.nextIndex() - 1, List.of());
    }

    void onSnapshotReply(StoreId id, Progress progress, Message.SnapshotReply reply) {
        Optional<Progress.SnapshotTransfer> transfer = progress.snapshotTransfer();
        if (transfer.isEmpty() || transfer.get().snapshot().index() != reply.index()) {
            return;
        }
        Snapshot snapshot = transfer.get().snapshot();
        if (reply.isInstalled()) {
            progress.changeSnapshotTransfer(Optional.empty());
            progress.matched(reply.index());
            return;
        }
        boolean isNew = reply.nextOffset() != transfer.get().offset();
        if (isNew && reply.nextOffset() <= snapshot.data().remaining()) {
            sendChunk(id, progress, snapshot, reply.nextOffset());
        }
    }

    private void startSnapshotTransfer(StoreId id, Progress progress) {
        sendChunk(id, progress, mState.log().snapshot(), 0);
    }

    private void sendChunk(StoreId id, Progress progress, Snapshot snapshot, int offset) {
        int total = snapshot.data().remaining();
        int length = Math.min(MAX_CHUNK_BYTES, total - offset);
        ByteBuffer chunk = snapshot.data().slice(snapshot.data().position() + offset, length);
        mState.send(
                id,
                new Message.SnapshotChunk(
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.members(),
                        offset,
                        total,
                        chunk,
                        mState.now().toNanos()));
        progress.changeSnapshotTransfer(
                Optional.of(new Progress.SnapshotTransfer(snapshot, offset, mState.now())));
    }

    private void sendAppend(
            StoreId id, Progress progress, long previousIndex, List<Entry> entries) {
        EntryLog log = mState.log();
        mState.send(
                id,
                new Message.Append(
                        previousIndex,
                        log.termAt(previousIndex),
                        log.commitIndex(),
                        mState.now().toNanos(),
                        entries));
        progress.commitIndexSent(log.commitIndex());
    }
}
