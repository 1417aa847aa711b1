package org.sequoiahill.daemon.process.log;

import java.util.List;
import java.util.Optional;

/** Handles the entries and snapshots that a leader sends to this store. */
final class Follower {
    private final CoreState mState;
    private Optional<SnapshotReceiver> mReceiver = Optional.empty();

    private Follower(CoreState state) {
        mState = state;
    }

    static Follower of(CoreState state) {
        return new Follower(state);
    }

    void onAppend(Message message, Message.Append append) {
        EntryLog log = mState.log();
        long last = append.previousIndex() + append.entries().size();
        if (append.previousIndex() < log.commitIndex()) {
            long committed = log.commitIndex();
            List<Entry> uncommitted =
                    append.entries().stream().filter(entry -> entry.index() > committed).toList();
            storeMissing(uncommitted);
            commitAndReply(message, append, Math.max(committed, last));
            return;
        }
        if (log.termAt(append.previousIndex()) != append.previousTerm()) {
            replyToAppend(message, append, false, mismatchHint(append.previousIndex()));
            return;
        }
        storeMissing(append.entries());
        commitAndReply(message, append, last);
    }

    /**
     * Handles a chunk of a snapshot. Once the snapshot is complete, installs it and returns true;
     * the caller then replies to the chunk.
     */
    boolean onSnapshotChunk(Message message, Message.SnapshotChunk chunk) {
        EntryLog log = mState.log();
        if (log.termAt(chunk.index()) == chunk.lastTerm()) {
            // The log contains the snapshot's last entry, so the snapshot is not installed: that
            // would drop later entries, which may have been acknowledged.
            log.commit(chunk.index());
        }
        if (chunk.index() <= log.commitIndex()) {
            replyToChunk(message, chunk, chunk.total(), true);
            return false;
        }
        if (mReceiver.filter(r -> r.isSameTransfer(message.from(), chunk)).isEmpty()) {
            mReceiver = SnapshotReceiver.begin(message.from(), chunk);
        }
        if (mReceiver.isEmpty()) {
            return false;
        }
        SnapshotReceiver receiver = mReceiver.get();
        receiver.add(chunk);
        Optional<Snapshot> snapshot = receiver.completed();
        if (snapshot.isEmpty()) {
            replyToChunk(message, chunk, receiver.received(), false);
            return false;
        }
        mReceiver = Optional.empty();
        mState.install(snapshot.get());
        return true;
    }

    void replyToChunk(
            Message message, Message.SnapshotChunk chunk, int nextOffset, boolean isInstalled) {
        mState.send(
                message.from(),
                new Message.SnapshotReply(
                        message.term(), chunk.index(), nextOffset, isInstalled, chunk.sentAt()));
    }

    void replyToAppend(Message message, Message.Append append, boolean isMatched, long index) {
        mState.send(
                message.from(),
                new Message.AppendReply(message.term(), isMatched, index, append.sentAt()));
    }

    private void commitAndReply(Message message, Message.Append append, long matched) {
        mState.log().commit(Math.min(append.commitIndex(), matched));
        replyToAppend(message, append, true, matched);
    }

    /** Appends the entries that the log lacks; truncates it at the first entry of another term. */
    private void storeMissing(List<Entry> entries) {
        for (Entry entry : entries) {
            if (entry.index() <= mState.log().lastIndex()) {
                if (mState.log().termAt(entry.index()) == entry.term()) {
                    continue;
                }
                mState.truncateFrom(entry.index());
            }
            mState.append(entry);
        }
    }

    /**
     * Returns the previous index that the leader should try next: the last index if the log is
     * shorter, else the index before the entries of the conflicting term, but not below the commit
     * index.
     */
    private long mismatchHint(long previousIndex) {
        EntryLog log = mState.log();
        if (previousIndex > log.lastIndex()) {
            return log.lastIndex();
        }
        long conflicting = log.termAt(previousIndex);
        long hint = previousIndex - 1;
        while (hint > log.commitIndex() && log.termAt(hint) == conflicting) {
            hint--;
        }
        return hint;
    }
}
