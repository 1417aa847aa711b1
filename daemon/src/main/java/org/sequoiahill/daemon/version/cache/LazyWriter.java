package org.sequoiahill.daemon.version.cache;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Supersedes the previous writer of its slot only once it has bytes to write, so that an attempt
 * that receives no bytes does not end the download of another one.
 */
final class LazyWriter implements ChunkWriter {
    private final ChunkSlot mSlot;
    private final Consumer<ChunkSlot> mOnStored;
    private ChunkSlot.@Nullable Writer mWriter;

    LazyWriter(ChunkSlot slot, Consumer<ChunkSlot> onStored) {
        mSlot = slot;
        mOnStored = onStored;
    }

    @Override
    public synchronized boolean write(ByteBuffer bytes) throws IOException {
        if (mWriter == null) {
            mWriter = mSlot.supersede();
        }
        return mWriter.write(bytes);
    }

    @Override
    public synchronized Outcome finish() {
        if (mWriter == null) {
            return mSlot.isHeld() ? Outcome.SUPERSEDED : Outcome.CORRUPT;
        }
        Outcome outcome = mWriter.finish();
        if (outcome == Outcome.STORED) {
            mOnStored.accept(mSlot);
        }
        return outcome;
    }
}
