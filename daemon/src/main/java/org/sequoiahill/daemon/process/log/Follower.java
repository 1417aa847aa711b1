package org.sequoiahill.daemon.process.log;

import java.util.List;
import java.util.Optional;

/** What a follower does with entries and snapshots of its leader. */
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
            long known = log.commitIndex();
            List<Entry> rest =
                    append.entries().stream().filter(entry -> entry.index() > known).toList();
            storeMissing(rest);
            commitAndReply(message, append, Math.max(known, last));
            return;
        }
        if (log.termAt(append.previousIndex()) != append.previousTerm()) {
            replyToAppend(message, append, false, mismatchHint(append.previousIndex()));
            return;
        }
        storeMissing(append.entries());
        commitAndReply(message, append, last);
    }

    /** A part has come; returns whether a whole snapshot was installed. */
    boolean onSnapshotChunk(Message message, Message.SnapshotChunk part) {
        EntryLog log = mState.log();
        if (log.termAt(part.index()) == part.lastTerm()) {
            // What follows the entry has been acknowledged, so it must not be dropped.
            log.commit(part.index());
        }
        if (part.index() <= log.commitIndex()) {
            replyToChunk(message, part, part.total(), true);
            return false;
        }
        if (mReceiver.filter(r -> r.isSameTransfer(message.from(), part)).isEmpty()) {
            mReceiver = SnapshotReceiver.begin(message.from(), part);
        }
        if (mReceiver.isEmpty()) {
            return false;
        }
        SnapshotReceiver receiver = mReceiver.get();
        receiver.add(part);
        Optional<Snapshot> snapshot = receiver.completed();
        if (snapshot.isEmpty()) {
            replyToChunk(message, part, receiver.received(), false);
            return false;
        }
        mReceiver = Optional.empty();
        mState.install(snapshot.get());
        return true;
    }

    void replyToChunk(
            Message message, Message.SnapshotChunk part, int nextOffset, boolean isInstalled) {
        mState.send(
                message.from(),
                new Message.SnapshotReply(
                        message.term(), part.index(), nextOffset, isInstalled, part.sentAt()));
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
