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

/** Asks other daemons for pieces. */
final class PieceClient {
    private final Identity mIdentity;
    private final ControlClient mClient;

    PieceClient(Identity identity, ControlClient client) {
        mIdentity = identity;
        mClient = client;
    }

    /**
     * Returns the manifest of a version as another daemon holds it.
     *
     * @throws IOException where the daemon doesn't answer or doesn't have it
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
            throw new IOException(peer + " did not answer", e);
        }
    }

    /**
     * Returns a piece that is as the manifest says.
     *
     * @param lane number of the connection; calls on one follow one another
     * @throws IOException where the daemon doesn't answer, or has no such piece, or a damaged one
     */
    byte[] fetchPiece(HostPort peer, PieceManifest manifest, int piece, int lane)
            throws IOException {
        PieceRequest request =
                new PieceRequest(mIdentity.sender(), manifest.model(), manifest.version(), piece);
        try {
            PieceReply reply =
                    mClient.call(peer, ServiceStub.PIECES, lane, client -> client.piece(request))
                            .join();
            if (!reply.isSetContent()) {
                throw new IOException(peer + " does not have the piece");
            }
            return manifest.verified(piece, reply.getContent(), peer);
        } catch (CompletionException e) {
            throw new IOException(peer + " did not answer", e);
        }
    }
}
