package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.PieceReply;
import org.sequoiahill.protocol.gen.PieceRequest;
import org.sequoiahill.protocol.gen.Pieces;
import org.tinylog.Logger;

/** Gives other agents the pieces that this one holds, or that lie staged at its engine. */
public final class PieceHandler implements Pieces.Iface {
    private static final Duration MAX_WAIT = Duration.ofMillis(500);

    /** Longest wait for a turn to send; whoever would wait longer asks again. */
    private static final Duration MAX_TURN_WAIT = Duration.ofMillis(400);

    private final Identity mIdentity;
    private final PieceStore mStore;
    private final StagingEngine mEngine;
    private final SendPace mPace;

    private PieceHandler(Identity identity, PieceStore store, StagingEngine engine, SendPace pace) {
        mIdentity = identity;
        mStore = store;
        mEngine = engine;
        mPace = pace;
    }

    /**
     * Returns the handler of one agent.
     *
     * @param bytesPerSecond rate that pieces may take of the link
     */
    public static PieceHandler of(
            Identity identity,
            PieceStore store,
            StagingEngine engine,
            MonotonicClock clock,
            double bytesPerSecond) {
        return new PieceHandler(identity, store, engine, new SendPace(clock, bytesPerSecond));
    }

    @Override
    public PieceReply piece(PieceRequest request) {
        PieceReply reply = new PieceReply().setSender(mIdentity.sender());
        Optional<byte[]> content = find(request);
        if (content.isEmpty()) {
            return reply;
        }
        try {
            String agent = request.getSender().getVm();
            if (mPace.await(agent, content.get().length, MAX_TURN_WAIT)) {
                reply.setContent(content.get());
            } else {
                reply.setBusy(true);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
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
