package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;

/**
 * One entry of the log.
 *
 * @param index place in the log, from 1
 * @param term term of the leader that made the entry
 * @param kind what the entry is for
 * @param payload bytes; its position must not be moved
 */
public record Entry(long index, long term, EntryKind kind, ByteBuffer payload) {
    private static final int HEADER_BYTES = 24;

    /** Returns the bytes of the payload. */
    public byte[] payloadBytes() {
        byte[] bytes = new byte[payload.remaining()];
        payload.duplicate().get(bytes);
        return bytes;
    }

    /** Returns the bytes that the entry takes, header included. */
    public int size() {
        return HEADER_BYTES + payload.remaining();
    }
}
