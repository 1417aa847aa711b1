package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Framing of records in a file: a marker, the length, a CRC and the record.
 *
 * <p>The CRC also covers the offset in the file, so that a frame inside a payload isn't valid.
 */
final class RecordFrame {
    /** Length of the header before a record, in bytes. */
    static final int HEADER_BYTES = 3 * Integer.BYTES;

    private static final int MARKER = 0x53514C47;

    private RecordFrame() {}

    static ByteBuffer of(long offset, byte[] record) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + record.length);
        frame.putInt(MARKER).putInt(record.length);
        frame.putInt(crcOf(offset, record, 0, record.length)).put(record);
        return frame.flip();
    }

    /** Returns the record at an offset, if there is a complete and undamaged one. */
    static Optional<byte[]> read(byte[] content, int offset) {
        if (content.length - offset < HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer header = ByteBuffer.wrap(content, offset, HEADER_BYTES);
        int marker = header.getInt();
        int length = header.getInt();
        int crc = header.getInt();
        int start = offset + HEADER_BYTES;
        if (marker != MARKER || length < 0 || length > content.length - start) {
            return Optional.empty();
        }
        if (crcOf(offset, content, start, length) != crc) {
            return Optional.empty();
        }
        byte[] record = new byte[length];
        System.arraycopy(content, start, record, 0, length);
        return Optional.of(record);
    }

    /** Returns whether a complete record starts anywhere after an offset. */
    static boolean hasRecordAfter(byte[] content, int offset) {
        for (int at = offset + 1; at <= content.length - HEADER_BYTES; at++) {
            if (read(content, at).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private static int crcOf(long offset, byte[] bytes, int start, int length) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Long.BYTES).putLong(offset).flip());
        crc.update(bytes, start, length);
        return (int) crc.getValue();
    }
}
