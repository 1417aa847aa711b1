package org.sequoiahill.daemon.version.cache;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import org.sequoiahill.protocol.weights.Digests;
import org.sequoiahill.protocol.weights.Manifest.Chunk;

/**
 * The range of one chunk in its file; only the newest writer can write to it.
 *
 * <p>A superseded writer can't write any more, so the bytes on disk are those whose digest the
 * newest writer verifies.
 */
final class ChunkSlot {
    private final Path mFile;
    private final Chunk mChunk;
    private long mNewestWriter;
    private boolean mIsHeld;

    ChunkSlot(Path file, Chunk chunk) {
        mFile = file;
        mChunk = chunk;
    }

    Path file() {
        return mFile;
    }

    Chunk chunk() {
        return mChunk;
    }

    synchronized boolean isHeld() {
        return mIsHeld;
    }

    synchronized void markHeld() {
        mIsHeld = true;
    }

    synchronized void markMissing() {
        mIsHeld = false;
    }

    /**
     * Returns a new writer that starts at the chunk's first byte, and supersedes the previous
     * writer.
     */
    synchronized Writer supersede() {
        mNewestWriter++;
        return new Writer(mNewestWriter);
    }

    /** Writes the bytes of one download into the slot. */
    final class Writer implements ChunkWriter {
        private final long mId;
        private final MessageDigest mDigest = Digests.sha256();
        private long mWritten;

        private Writer(long id) {
            mId = id;
        }

        @Override
        public boolean write(ByteBuffer bytes) throws IOException {
            synchronized (ChunkSlot.this) {
                if (mIsHeld || mId != mNewestWriter) {
                    return false;
                }
                if (mWritten + bytes.remaining() > mChunk.bytes()) {
                    // Makes finish() return CORRUPT; half of the maximum, so that the sum above
                    // can't
                    // overflow.
                    mWritten = Long.MAX_VALUE / 2;
                    return false;
                }
                mDigest.update(bytes.duplicate());
                append(bytes.duplicate());
                return true;
            }
        }

        @Override
        public Outcome finish() {
            synchronized (ChunkSlot.this) {
                if (mIsHeld || mId != mNewestWriter) {
                    return Outcome.SUPERSEDED;
                }
                boolean isIntact =
                        mWritten == mChunk.bytes()
                                && Digests.hex(mDigest.digest()).equals(mChunk.digest());
                mIsHeld = isIntact;
                return isIntact ? Outcome.STORED : Outcome.CORRUPT;
            }
        }

        private void append(ByteBuffer bytes) throws IOException {
            Files.createDirectories(mFile.getParent());
            try (FileChannel channel =
                    FileChannel.open(mFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
                while (bytes.hasRemaining()) {
                    mWritten += channel.write(bytes, mChunk.offset() + mWritten);
                }
            }
        }
    }
}
