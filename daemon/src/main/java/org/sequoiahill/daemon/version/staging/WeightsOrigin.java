package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import org.sequoiahill.daemon.process.settings.HostPort;

/** The storage that versions of weights are published to. */
public interface WeightsOrigin {
    /**
     * Returns the manifest of a version.
     *
     * @throws IOException if the origin can't be reached or does not have the version
     */
    PieceManifest manifest(HostPort origin, String model, long version) throws IOException;

    /**
     * Returns a piece, which may be corrupt.
     *
     * @throws IOException if the origin can't be reached or does not have the piece
     */
    byte[] piece(HostPort origin, String model, long version, int piece) throws IOException;
}
