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
 * Gives the pieces of the version that an agent's engine serves to an entry, which passes them on.
 *
 * <p>Engines that start with a version hold pieces that nobody has drawn from the origin yet. What
 * lies at an engine may have turned bad; whoever asks compares it with the manifest.
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

    /** Returns the pieces of one agent. */
    public static StagedPieceService of(
            Identity identity, AgentState state, PieceStore store, StagingEngine engine) {
        return new StagedPieceService(identity, state, store, engine);
    }

    /** Gives no manifest; that of the origin is the one to compare with. */
    @Override
    public ManifestReply manifest(ManifestRequest request) {
        return new ManifestReply().setSender(mIdentity.sender()).setDigests(List.of());
    }

    @Override
    public PieceReply piece(PieceRequest request) {
        PieceReply reply = new PieceReply().setSender(mIdentity.sender());
        try {
            held(request).ifPresent(reply::setContent);
        } catch (IOException e) {
            Logger.info("piece {} can't be given: {}", request.getPiece(), e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return reply;
    }

    private Optional<byte[]> held(PieceRequest request) throws IOException, InterruptedException {
        String model = request.getModel();
        long version = request.getVersion();
        Optional<byte[]> fetched = mStore.piece(model, version, request.getPiece(), Duration.ZERO);
        Long served = mState.participant().getVersions().get(model);
        if (fetched.isPresent() || served == null || served != version) {
            return fetched;
        }
        return mEngine.stagedPiece(model, request.getPiece());
    }
}
