package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.util.Optional;

/** Assembles a snapshot from its chunks. */
final class SnapshotReceiver {
    /** Maximum size of a snapshot, in bytes. */
    static final int MAX_SNAPSHOT_BYTES = 128 << 20;

    private final StoreId mFrom;
    private final Message.SnapshotChunk mFirstChunk;
    private final ByteBuffer mData;

    private SnapshotReceiver(StoreId from, Message.SnapshotChunk firstChunk) {
        mFrom = from;
        mFirstChunk = firstChunk;
        mData = ByteBuffer.allocate(firstChunk.total());
    }

    /** Returns a receiver of the snapshot that a chunk belongs to; empty if its size is invalid. */
    static Optional<SnapshotReceiver> begin(StoreId from, Message.SnapshotChunk chunk) {
        if (chunk.total() < 0 || chunk.total() > MAX_SNAPSHOT_BYTES) {
            return Optional.empty();
        }
        return Optional.of(new SnapshotReceiver(from, chunk));
    }

    boolean isSameTransfer(StoreId from, Message.SnapshotChunk chunk) {
        return mFrom.equals(from)
                && mFirstChunk.index() == chunk.index()
                && mFirstChunk.lastTerm() == chunk.lastTerm()
                && mFirstChunk.total() == chunk.total();
    }

    /** Adds a chunk if it is the next one, and ignores it otherwise. */
    void add(Message.SnapshotChunk chunk) {
        if (chunk.offset() == mData.position() && chunk.data().remaining() <= mData.remaining()) {
            mData.put(chunk.data().duplicate());
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
