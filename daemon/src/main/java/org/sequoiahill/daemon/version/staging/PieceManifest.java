package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import org.sequoiahill.protocol.weights.Digests;

/**
 * The pieces of one version of a model's weights.
 *
 * @param model name of the model
 * @param version number of the version
 * @param digests SHA-256 of each piece, in hexadecimal
 */
public record PieceManifest(String model, long version, List<String> digests) {
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

    /** Copies the list with the digests in lower case. */
    public PieceManifest {
        digests = digests.stream().map(digest -> digest.toLowerCase(Locale.ROOT)).toList();
    }

    /** Returns the number of pieces. */
    public int pieces() {
        return digests.size();
    }

    /** Returns this manifest with another digest of one piece. */
    PieceManifest withDigest(int piece, String digest) {
        List<String> changed = new ArrayList<>(digests);
        changed.set(piece, digest);
        return new PieceManifest(model, version, changed);
    }

    /**
     * Returns this manifest.
     *
     * @param expectedPieces number of pieces that the version must have
     * @throws IOException if it has another number of pieces, or a digest that is not one
     */
    PieceManifest checked(int expectedPieces) throws IOException {
        if (pieces() != expectedPieces) {
            throw new IOException(
                    "the manifest has " + pieces() + " pieces, not " + expectedPieces);
        }
        for (String digest : digests) {
            if (!DIGEST.matcher(digest).matches()) {
                throw new IOException("the manifest has an invalid digest");
            }
        }
        return this;
    }

    /** Returns whether the digest of {@code content} is that of a piece of this version. */
    public boolean matches(int piece, byte[] content) {
        return Digests.of(content).equals(digests.get(piece));
    }
}
