package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import org.sequoiahill.daemon.process.settings.HostPort;

/**
 * The pieces of one version of a model's weights.
 *
 * @param model name of the model
 * @param version number of the version
 * @param digests SHA-256 of each piece, in hexadecimal
 */
public record PieceManifest(String model, long version, List<String> digests) {
    /** Copies the list with the digests in lower case. */
    public PieceManifest {
        digests = digests.stream().map(digest -> digest.toLowerCase(Locale.ROOT)).toList();
    }

    /** Returns the number of pieces. */
    public int pieces() {
        return digests.size();
    }

    /**
     * Returns {@code content} if it is intact.
     *
     * @throws IOException if the digest of {@code content} differs from the manifest
     */
    byte[] verified(int piece, byte[] content, HostPort source) throws IOException {
        if (!matches(piece, content)) {
            throw new IOException("piece " + piece + " from " + source + " is corrupt");
        }
        return content;
    }

    /** Returns whether the digest of {@code content} is that of a piece of this version. */
    public boolean matches(int piece, byte[] content) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(content);
            return HexFormat.of().formatHex(digest).equals(digests.get(piece));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
