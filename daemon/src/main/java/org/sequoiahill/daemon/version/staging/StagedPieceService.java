package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.protocol.gen.ManifestReply;
import org.sequoiahill.protocol.gen.ManifestRequest;
import org.sequoiahill.protocol.gen.PieceReply;
import org.sequoiahill.protocol.gen.PieceRequest;
import org.sequoiahill.protocol.gen.Pieces;
import org.tinylog.Logger;

/**
 * Sends pieces to entries, which relay them: pieces in this agent's store and, for the version that
 * its engine serves, pieces that are staged at the engine.
 *
 * <p>If an engine already has a version when it starts, its agent may not have fetched the pieces,
 * so they are available from the engine only. A staged piece may have become corrupt; the caller
 * verifies it against the manifest.
 */
public final class StagedPieceService implements Pieces.Iface {
    private final Identity mIdentity;
    private final AgentState mState;
    private final PieceStore mStore;
    private final StagingEngine mEngine;

    private StagedPieceService(
            Identity identity, AgentState state, PieceStore store, StagingEngine engine) {
        mIdentity = identity;
        mState = state;
        mStore = store;
        mEngine = engine;
    }

    /** Returns the service of one agent. */
    public static StagedPieceService of(
            Identity identity, AgentState state, PieceStore store, StagingEngine engine) {
        return new StagedPieceService(identity, state, store, engine);
    }

    /** Returns no digests: pieces are verified against the manifest of the origin only. */
    @Override
    public ManifestReply manifest(ManifestRequest request) {
        return new ManifestReply().setSender(mIdentity.sender()).setDigests(List.of());
    }

    @Override
    public PieceReply piece(PieceRequest request) {
        PieceReply reply = new PieceReply().setSender(mIdentity.sender());
        try {
            find(request).ifPresent(reply::setContent);
        } catch (IOException e) {
            Logger.info("can't serve piece {}: {}", request.getPiece(), e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return reply;
    }

    private Optional<byte[]> find(PieceRequest request) throws IOException, InterruptedException {
        String model = request.getModel();
        long version = request.getVersion();
        Optional<byte[]> fetched = mStore.piece(model, version, request.getPiece(), Duration.ZERO);
        Long servedVersion = mState.participant().getVersions().get(model);
        if (fetched.isPresent() || servedVersion == null || servedVersion != version) {
            return fetched;
        }
        return mEngine.stagedPiece(model, request.getPiece());
    }
}
