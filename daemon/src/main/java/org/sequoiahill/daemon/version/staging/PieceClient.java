package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.util.concurrent.CompletionException;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.ManifestReply;
import org.sequoiahill.protocol.gen.ManifestRequest;
import org.sequoiahill.protocol.gen.PieceReply;
import org.sequoiahill.protocol.gen.PieceRequest;

/** Fetches manifests and pieces from other daemons. */
final class PieceClient {
    private final Identity mIdentity;
    private final ControlClient mClient;

    PieceClient(Identity identity, ControlClient client) {
        mIdentity = identity;
        mClient = client;
    }

    /**
     * Returns the manifest of a version from another daemon.
     *
     * @throws IOException if the daemon does not respond or does not have the manifest
     */
    PieceManifest fetchManifest(HostPort peer, String model, long version) throws IOException {
        ManifestRequest request = new ManifestRequest(mIdentity.sender(), model, version);
        try {
            ManifestReply reply =
                    mClient.call(peer, ServiceStub.PIECES, client -> client.manifest(request))
                            .join();
            if (reply.getDigests().isEmpty()) {
                throw new IOException(peer + " does not have the manifest");
            }
            return new PieceManifest(model, version, reply.getDigests());
        } catch (CompletionException e) {
            throw new IOException(peer + " did not respond", e);
        }
    }

    /**
     * Returns a piece, which may be corrupt.
     *
     * @param connection index of the connection; calls on one connection are sequential
     * @throws IOException if the daemon does not respond or does not have the piece
     */
    byte[] fetchPiece(HostPort peer, String model, long version, int piece, int connection)
            throws IOException {
        PieceRequest request = new PieceRequest(mIdentity.sender(), model, version, piece);
        try {
            PieceReply reply =
                    mClient.call(
                                    peer,
                                    ServiceStub.PIECES,
                                    connection,
                                    client -> client.piece(request))
                            .join();
            if (!reply.isSetContent()) {
                throw new IOException(peer + " does not have the piece");
            }
            return reply.getContent();
        } catch (CompletionException e) {
            throw new IOException(peer + " did not respond", e);
        }
    }
}
