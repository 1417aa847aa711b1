package org.sequoiahill.daemon.process.fleet;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Deflates texts for storage and transfer; a table of hundreds of routes shrinks to a tenth. */
public final class DeflatedText {
    private DeflatedText() {}

    /** Returns the deflated text. */
    public static byte[] deflate(byte[] text) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
            deflater.write(text);
        } catch (IOException e) {
            throw new UncheckedIOException("deflating in memory failed", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Returns the text that {@link #deflate} deflated.
     *
     * @throws UncheckedIOException if the bytes are not a deflated text
     */
    public static byte[] inflate(ByteBuffer deflated) {
        byte[] bytes = new byte[deflated.remaining()];
        deflated.duplicate().get(bytes);
        try (InflaterInputStream inflater =
                new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            return inflater.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException("the deflated text of a routing table is corrupt", e);
        }
    }
}
