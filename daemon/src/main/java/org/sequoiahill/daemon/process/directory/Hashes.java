package org.sequoiahill.daemon.process.directory;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Fast hashes that are equal in all processes; not collision-resistant against chosen input. */
public final class Hashes {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Hashes() {}

    /** Returns the hash of a text. */
    public static long of(String text) {
        return of(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the hash of a buffer's remaining bytes and consumes them. */
    public static long of(ByteBuffer bytes) {
        long hash = FNV_OFFSET;
        while (bytes.hasRemaining()) {
            hash = (hash ^ (bytes.get() & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Returns a hash in which every bit depends on every bit of a value. */
    public static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
