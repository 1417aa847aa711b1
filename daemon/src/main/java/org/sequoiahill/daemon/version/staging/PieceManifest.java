package org.sequoiahill.daemon.version.staging;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;

/**
 * The pieces of one version of a model's weights.
 *
 * @param model name of the model
 * @param version number of the version
 * @param digests SHA-256 of each piece, in hexadecimal
 */
public record PieceManifest(String model, long version, List<String> digests) {
    /** Copies the list. */
    public PieceManifest {
        digests = digests.stream().map(digest -> digest.toLowerCase(Locale.ROOT)).toList();
    }

    /** Returns the number of pieces. */
    public int pieces() {
        return digests.size();
    }

    /** Returns whether bytes are a piece of this version. */
    public boolean matches(int piece, byte[] content) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(content);
            return HexFormat.of().formatHex(digest).equals(digests.get(piece));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
