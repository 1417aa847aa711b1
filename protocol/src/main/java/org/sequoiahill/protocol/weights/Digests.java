package org.sequoiahill.protocol.weights;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests in lower-case hexadecimal. */
public final class Digests {
    private Digests() {}

    /** Returns a new SHA-256 digest. */
    public static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Returns the hexadecimal digest of some bytes. */
    public static String of(byte[] bytes) {
        return hex(sha256().digest(bytes));
    }

    /** Returns the hexadecimal digest of a text in UTF-8. */
    public static String of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns bytes in hexadecimal. */
    public static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }
}
