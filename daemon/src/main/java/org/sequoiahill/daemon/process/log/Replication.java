package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Sends entries and snapshots from a leader to the other members, within bounds. */
final class Replication {
    private static final int MAX_APPEND_BYTES = 1 << 20;
    private static final int MAX_CHUNK_BYTES = 256 << 10;
    private static final int MAX_APPENDS_IN_FLIGHT = 4;
    private static final int RESEND_BEATS = 2;

    private final CoreState mState;

    private Replication(CoreState state) {
        mState = state;
    }

    static Replication of(CoreState state) {
        return new Replication(state);
    }

    /** Sends entries that the member lacks, or tells it of what was committed since. */
    void sendNew(StoreId id, Progress progress) {
        EntryLog log = mState.log();
        while (progress.next() <= log.lastIndex() && progress.maySend(MAX_APPENDS_IN_FLIGHT)) {
            if (log.termAt(progress.next() - 1) == EntryLog.UNKNOWN_TERM) {
                startTransfer(id, progress);
                return;
            }
            List<Entry> entries = log.slice(progress.next(), log.lastIndex(), MAX_APPEND_BYTES);
            sendAppend(id, progress, progress.next() - 1, entries);
            progress.sent(entries.get(entries.size() - 1).index());
        }
        if (progress.sentCommit() < log.commitIndex() && progress.maySend(1)) {
            sendAppend(id, progress, progress.next() - 1, List.of());
        }
    }

    /** Sends a heartbeat; its answer shows whether anything before it was lost. */
    void sendBeat(StoreId id, Progress progress) {
        EntryLog log = mState.log();
        Optional<Progress.Transfer> transfer = progress.transfer();
        if (transfer.isPresent()) {
            sendAppend(id, progress, log.baseIndex(), List.of());
            Duration resendAt =
                    transfer.get()
                            .sentAt()
                            .plus(mState.timing().heartbeat().multipliedBy(RESEND_BEATS));
            if (mState.now().compareTo(resendAt) > 0) {
                sendChunk(id, progress, transfer.get().snapshot(), transfer.get().offset());
            }
            return;
        }
        if (log.termAt(progress.next() - 1) == EntryLog.UNKNOWN_TERM) {
            startTransfer(id, progress);
            return;
        }
        sendAppend(id, progress, progress.next() - 1, List.of());
    }

    void onSnapshotReply(StoreId id, Progress progress, Message.SnapshotReply reply) {
        Optional<Progress.Transfer> transfer = progress.transfer();
        if (transfer.isEmpty() || transfer.get().snapshot().index() != reply.index()) {
            return;
        }
        Snapshot snapshot = transfer.get().snapshot();
        if (reply.isInstalled()) {
            progress.transfer(Optional.empty());
            progress.matched(reply.index());
            return;
        }
        boolean isNew = reply.nextOffset() != transfer.get().offset();
        if (isNew && reply.nextOffset() <= snapshot.data().remaining()) {
            sendChunk(id, progress, snapshot, reply.nextOffset());
        }
    }

    private void startTransfer(StoreId id, Progress progress) {
        sendChunk(id, progress, mState.log().snapshot(), 0);
    }

    private void sendChunk(StoreId id, Progress progress, Snapshot snapshot, int offset) {
        int total = snapshot.data().remaining();
        int length = Math.min(MAX_CHUNK_BYTES, total - offset);
        ByteBuffer part = snapshot.data().slice(snapshot.data().position() + offset, length);
        mState.send(
                id,
                new Message.SnapshotChunk(
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.members(),
                        offset,
                        total,
                        part,
                        mState.now().toNanos()));
        progress.transfer(Optional.of(new Progress.Transfer(snapshot, offset, mState.now())));
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
        progress.toldCommit(log.commitIndex());
    }
}
