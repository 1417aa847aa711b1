package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.protocol.gen.PieceReply;
import org.sequoiahill.protocol.gen.PieceRequest;
import org.sequoiahill.protocol.gen.Pieces;
import org.tinylog.Logger;

/** Gives other agents the pieces that this one holds, or that lie staged at its engine. */
public final class PieceHandler implements Pieces.Iface {
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final Identity mIdentity;
    private final PieceStore mStore;
    private final StagingEngine mEngine;

    private PieceHandler(Identity identity, PieceStore store, StagingEngine engine) {
        mIdentity = identity;
        mStore = store;
        mEngine = engine;
    }

    /** Returns the handler of one agent. */
    public static PieceHandler of(Identity identity, PieceStore store, StagingEngine engine) {
        return new PieceHandler(identity, store, engine);
    }

    @Override
    public PieceReply piece(PieceRequest request) {
        PieceReply reply = new PieceReply().setSender(mIdentity.sender());
        find(request).ifPresent(reply::setContent);
        return reply;
    }

    private Optional<byte[]> find(PieceRequest request) {
        String model = request.getModel();
        try {
            Optional<byte[]> held =
                    mStore.piece(model, request.getVersion(), request.getPiece(), Duration.ZERO);
            if (held.isPresent()) {
                return held;
            }
            Long loaded = mEngine.report().versions().get(model);
            if (loaded != null && loaded == request.getVersion()) {
                // The asker checks the piece, so one that has turned bad here does no harm.
                return mEngine.staged(model, request.getPiece());
            }
            Duration wait = Duration.ofMillis(request.getWaitMillis());
            return mStore.piece(
                    model,
                    request.getVersion(),
                    request.getPiece(),
                    wait.compareTo(MAX_WAIT) < 0 ? wait : MAX_WAIT);
        } catch (IOException e) {
            Logger.info("piece {} can't be read here: {}", request.getPiece(), e.toString());
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
