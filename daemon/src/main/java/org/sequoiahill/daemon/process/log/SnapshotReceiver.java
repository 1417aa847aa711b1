package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.util.Optional;

/** Puts the parts of one snapshot together. */
final class SnapshotReceiver {
    /** Largest snapshot that is taken, in bytes. */
    static final int MAX_SNAPSHOT_BYTES = 128 << 20;

    private final StoreId mFrom;
    private final Message.SnapshotChunk mFirstChunk;
    private final ByteBuffer mData;

    private SnapshotReceiver(StoreId from, Message.SnapshotChunk first) {
        mFrom = from;
        mFirstChunk = first;
        mData = ByteBuffer.allocate(first.total());
    }

    /** Returns a receiver of the snapshot that a part belongs to, where its size is in bounds. */
    static Optional<SnapshotReceiver> begin(StoreId from, Message.SnapshotChunk part) {
        if (part.total() < 0 || part.total() > MAX_SNAPSHOT_BYTES) {
            return Optional.empty();
        }
        return Optional.of(new SnapshotReceiver(from, part));
    }

    boolean isSameTransfer(StoreId from, Message.SnapshotChunk part) {
        return mFrom.equals(from)
                && mFirstChunk.index() == part.index()
                && mFirstChunk.lastTerm() == part.lastTerm()
                && mFirstChunk.total() == part.total();
    }

    /** Takes the part if it is the next one. */
    void add(Message.SnapshotChunk part) {
        if (part.offset() == mData.position() && part.data().remaining() <= mData.remaining()) {
            mData.put(part.data().duplicate());
        }
    }

    int received() {
        return mData.position();
    }

    Optional<Snapshot> completed() {
        if (mData.hasRemaining()) {
            return Optional.empty();
        }
        return Optional.of(
                new Snapshot(
                        mFirstChunk.index(),
                        mFirstChunk.lastTerm(),
                        mFirstChunk.members(),
                        mData.duplicate().flip()));
    }
}
