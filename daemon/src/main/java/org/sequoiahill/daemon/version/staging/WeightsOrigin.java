package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import org.sequoiahill.daemon.process.settings.HostPort;

/** The store of weights that publishers fill. */
public interface WeightsOrigin {
    /**
     * Returns the manifest of a version.
     *
     * @throws IOException where the origin can't be reached, or doesn't have the version
     */
    PieceManifest manifest(HostPort origin, String model, long version) throws IOException;

    /**
     * Returns a piece, which may be damaged.
     *
     * @throws IOException where the origin can't be reached, or doesn't have the piece
     */
    byte[] piece(HostPort origin, String model, long version, int piece) throws IOException;
}
