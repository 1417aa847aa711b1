package org.sequoiahill.daemon.version.cache;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Writes the bytes of one chunk in order, from its first byte on. */
public interface ChunkWriter {
    /** Outcome of writing a chunk. */
    enum Outcome {
        /** The digest matches and the chunk is held. */
        STORED,
        /** The digest or size differs from the manifest; the chunk is not held. */
        CORRUPT,
        /** Another writer has superseded this one, or the chunk is held already. */
        SUPERSEDED
    }

    /**
     * Writes the next bytes.
     *
     * @return whether more bytes may follow; false once the writer is superseded, the chunk is
     *     held, or there are too many bytes
     * @throws IOException if the disk fails or is full
     */
    boolean write(ByteBuffer bytes) throws IOException;

    /**
     * Verifies the size and digest of the written bytes and, if they match, marks the chunk as
     * held.
     */
    Outcome finish();
}
