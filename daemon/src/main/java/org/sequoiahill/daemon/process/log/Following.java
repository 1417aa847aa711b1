package org.sequoiahill.daemon.process.log;

import java.util.List;
import java.util.Optional;

/** What a follower does with entries and snapshots of its leader. */
final class Following {
    private final CoreState mState;
    private Optional<SnapshotReceiver> mReceiver = Optional.empty();

    private Following(CoreState state) {
        mState = state;
    }

    static Following of(CoreState state) {
        return new Following(state);
    }

    void onAppend(Message message, Message.Append append) {
        EntryLog log = mState.log();
        long last = append.previousIndex() + append.entries().size();
        if (append.previousIndex() < log.commitIndex()) {
            long known = log.commitIndex();
            List<Entry> rest =
                    append.entries().stream().filter(entry -> entry.index() > known).toList();
            store(rest);
            commitAndReply(message, append, Math.max(known, last));
            return;
        }
        if (log.termAt(append.previousIndex()) != append.previousTerm()) {
            reply(message, append, false, mismatchHint(append.previousIndex()));
            return;
        }
        store(append.entries());
        commitAndReply(message, append, last);
    }

    /** A part has come; returns whether a whole snapshot was installed. */
    boolean onChunk(Message message, Message.SnapshotChunk part) {
        EntryLog log = mState.log();
        if (log.termAt(part.index()) == part.lastTerm()) {
            // What follows the entry has been acknowledged, so it must not be dropped.
            log.commit(part.index());
        }
        if (part.index() <= log.commitIndex()) {
            replyChunk(message, part, part.total(), true);
            return false;
        }
        if (mReceiver.filter(r -> r.isFor(message.from(), part)).isEmpty()) {
            mReceiver = SnapshotReceiver.begin(message.from(), part);
        }
        if (mReceiver.isEmpty()) {
            return false;
        }
        SnapshotReceiver receiver = mReceiver.get();
        receiver.add(part);
        Optional<Snapshot> snapshot = receiver.completed();
        if (snapshot.isEmpty()) {
            replyChunk(message, part, receiver.received(), false);
            return false;
        }
        mReceiver = Optional.empty();
        mState.install(snapshot.get());
        return true;
    }

    void replyChunk(
            Message message, Message.SnapshotChunk part, int nextOffset, boolean isInstalled) {
        mState.send(
                message.from(),
                new Message.SnapshotReply(
                        message.term(), part.index(), nextOffset, isInstalled, part.sentAt()));
    }

    void reply(Message message, Message.Append append, boolean isMatched, long index) {
        mState.send(
                message.from(),
                new Message.AppendReply(message.term(), isMatched, index, append.sentAt()));
    }

    private void commitAndReply(Message message, Message.Append append, long matched) {
        mState.log().commit(Math.min(append.commitIndex(), matched));
        reply(message, append, true, matched);
    }

    private void store(List<Entry> entries) {
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
