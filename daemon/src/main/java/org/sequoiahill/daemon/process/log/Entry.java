package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;

/**
 * An entry of the log.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that appended the entry
 * @param kind purpose of the entry
 * @param payload bytes; readers must not move its position
 */
public record Entry(long index, long term, EntryKind kind, ByteBuffer payload) {
    private static final int HEADER_BYTES = 24;

    /** Returns a copy of the payload. */
    public byte[] payloadBytes() {
        byte[] bytes = new byte[payload.remaining()];
        payload.duplicate().get(bytes);
        return bytes;
    }

    /** Returns the size of the entry in bytes, header included. */
    public int size() {
        return HEADER_BYTES + payload.remaining();
    }
}
