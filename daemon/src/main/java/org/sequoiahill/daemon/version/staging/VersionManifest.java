package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiahill.protocol.weights.Digests;
import org.tinylog.Logger;

/**
 * The manifest of one version, repaired while pieces arrive.
 *
 * <p>A response of the origin may be corrupt, whether it is a piece or the manifest. If a piece
 * arrives twice with the same content, which does not match the manifest, the manifest itself may
 * be corrupt, so another copy of it is fetched. A digest in any copy that matches received content
 * is correct, since independent corruption of both can't agree, and replaces the one in the
 * manifest.
 */
final class VersionManifest {
    /** Copies to compare with; a corrupt digest is rarely corrupt in several of them. */
    private static final int MAX_COPIES = 4;

    /** Limit of remembered digests of content that did not match, for each piece. */
    private static final int MAX_MISMATCHES = 4;

    private final Runnable mOnRepair;
    private final List<PieceManifest> mCopies = new ArrayList<>();
    private final Map<Integer, Set<String>> mMismatches = new HashMap<>();
    private PieceManifest mCurrent;

    /**
     * Creates a manifest from its first copy.
     *
     * @param onRepair called after a digest has been replaced
     */
    VersionManifest(PieceManifest first, Runnable onRepair) {
        mCurrent = first;
        mOnRepair = onRepair;
    }

    /** Fetches another copy of the manifest. */
    @FunctionalInterface
    interface CopySource {
        PieceManifest fetch() throws IOException;
    }

    /** Returns the manifest with all repairs so far. */
    synchronized PieceManifest current() {
        return mCurrent;
    }

    /**
     * Returns whether received content is that of a piece. If the same content was received before
     * and matches no known copy of the manifest, fetches further copies.
     *
     * @param copies sources of further copies, in the order in which they are tried
     */
    boolean accepts(int piece, byte[] content, List<CopySource> copies) {
        String digest = Digests.of(content);
        if (current().digests().get(piece).equals(digest) || repairFromKnownCopies(piece, digest)) {
            return true;
        }
        if (!isRepeated(piece, digest)) {
            return false;
        }
        for (CopySource source : copies) {
            try {
                if (repairFrom(source.fetch(), piece, digest)) {
                    return true;
                }
            } catch (IOException e) {
                Logger.info("can't fetch another copy of the manifest: {}", e.toString());
            }
        }
        return false;
    }

    /** Returns whether content with this digest was received before; remembers it otherwise. */
    private synchronized boolean isRepeated(int piece, String digest) {
        Set<String> mismatches = mMismatches.computeIfAbsent(piece, key -> new HashSet<>());
        if (mismatches.contains(digest)) {
            return true;
        }
        if (mismatches.size() >= MAX_MISMATCHES) {
            mismatches.clear();
        }
        mismatches.add(digest);
        return false;
    }

    /** Returns whether a copy that was fetched before has this digest, which then replaces ours. */
    private synchronized boolean repairFromKnownCopies(int piece, String digest) {
        return mCopies.stream().anyMatch(copy -> copy.digests().get(piece).equals(digest))
                && repair(piece, digest);
    }

    /** Adds a copy; returns whether it has this digest, which then replaces ours. */
    private synchronized boolean repairFrom(PieceManifest copy, int piece, String digest) {
        if (copy.pieces() != mCurrent.pieces()) {
            return false;
        }
        if (mCopies.size() == MAX_COPIES) {
            mCopies.remove(0);
        }
        mCopies.add(copy);
        return copy.digests().get(piece).equals(digest) && repair(piece, digest);
    }

    private synchronized boolean repair(int piece, String digest) {
        Logger.warn(
                "the digest of piece {} of version {} of {} was corrupt in the manifest; another"
                        + " copy matches the content",
                piece,
                mCurrent.version(),
                mCurrent.model());
        mCurrent = mCurrent.withDigest(piece, digest);
        mMismatches.remove(piece);
        mOnRepair.run();
        return true;
    }
}
