package org.sequoiahill.daemon.version.cache;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Takes the bytes of one chunk as they come, from its first byte on. */
public interface ChunkWriter {
    /** What became of a written chunk. */
    enum Outcome {
        /** The bytes are right and the chunk is held. */
        STORED,
        /** The bytes have another digest or size than stated; nothing of them counts. */
        CORRUPT,
        /** Another writer has taken over. */
        SUPERSEDED
    }

    /**
     * Writes the next bytes.
     *
     * @return whether more may follow; false once the writer is superseded or the chunk too long
     * @throws IOException where the disk fails or is full
     */
    boolean write(ByteBuffer bytes) throws IOException;

    /** Checks the digest of what was written and, if it is right, keeps the chunk. */
    Outcome finish();
}
