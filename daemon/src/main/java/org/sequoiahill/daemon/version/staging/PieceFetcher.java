package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.PieceReply;
import org.sequoiahill.protocol.gen.PieceRequest;
import org.tinylog.Logger;

/** Brings all pieces of a version into the store: its own from the origin, the rest from agents. */
public final class PieceFetcher {
    private static final int ORIGIN_WORKERS = 2;
    private static final int PEER_WORKERS = 3;

    /** Wait at a peer for a piece that it is drawing itself. */
    private static final Duration PEER_WAIT = Duration.ofMillis(700);

    private static final Duration PEER_TIMEOUT = Duration.ofMillis(1_500);

    /** Rounds over the missing pieces before the fetch is given up and begun anew. */
    private static final int MAX_ROUNDS = 4;

    private final Identity mIdentity;
    private final WeightsOrigin mOrigin;
    private final PieceStore mStore;
    private final ControlClient mClient;
    private final ExecutorService mWorkers;

    private PieceFetcher(
            Identity identity,
            WeightsOrigin origin,
            PieceStore store,
            ControlClient client,
            ExecutorService workers) {
        mIdentity = identity;
        mOrigin = origin;
        mStore = store;
        mClient = client;
        mWorkers = workers;
    }

    /** Returns a fetcher. */
    public static PieceFetcher of(
            Identity identity,
            WeightsOrigin origin,
            PieceStore store,
            ControlClient client,
            ExecutorService workers) {
        return new PieceFetcher(identity, origin, store, client, workers);
    }

    /**
     * Fetches what is missing.
     *
     * @param manifest pieces of the version
     * @param origin address of the origin
     * @param peers control addresses of the agents that want the version too, by name
     * @return whether all pieces are here
     */
    public boolean fetch(PieceManifest manifest, HostPort origin, Map<String, HostPort> peers)
            throws InterruptedException {
        List<String> agents = new ArrayList<>(peers.keySet());
        agents.add(mIdentity.vm());
        PiecePlan plan = new PiecePlan(agents, mIdentity.vm(), manifest.pieces());
        for (int round = 0; round < MAX_ROUNDS; round++) {
            ConcurrentLinkedQueue<Integer> own = missing(manifest, plan.own());
            ConcurrentLinkedQueue<Integer> others = missing(manifest, plan.others());
            if (own.isEmpty() && others.isEmpty()) {
                return true;
            }
            boolean isLastResort = round >= MAX_ROUNDS / 2;
            List<Future<?>> workers = new ArrayList<>();
            for (int i = 0; i < ORIGIN_WORKERS; i++) {
                workers.add(
                        mWorkers.submit(() -> drain(own, piece -> draw(manifest, origin, piece))));
            }
            for (int i = 0; i < PEER_WORKERS; i++) {
                workers.add(
                        mWorkers.submit(
                                () ->
                                        drain(
                                                others,
                                                piece -> {
                                                    if (isLastResort) {
                                                        draw(manifest, origin, piece);
                                                    } else {
                                                        ask(manifest, plan, peers, piece);
                                                    }
                                                })));
            }
            for (Future<?> worker : workers) {
                join(worker);
            }
        }
        return missing(manifest, plan.own()).isEmpty()
                && missing(manifest, plan.others()).isEmpty();
    }

    /** Fetches one piece. */
    @FunctionalInterface
    private interface Fetch {
        void run(int piece) throws IOException;
    }

    private static void drain(ConcurrentLinkedQueue<Integer> pieces, Fetch fetch) {
        for (Integer piece = pieces.poll(); piece != null; piece = pieces.poll()) {
            try {
                fetch.run(piece);
            } catch (IOException e) {
                Logger.info("piece {} did not come: {}", piece, e.toString());
            }
        }
    }

    private static void join(Future<?> worker) throws InterruptedException {
        try {
            worker.get();
        } catch (ExecutionException e) {
            Logger.error(e, "a worker that fetches pieces failed");
        }
    }

    private ConcurrentLinkedQueue<Integer> missing(PieceManifest manifest, List<Integer> pieces) {
        ConcurrentLinkedQueue<Integer> missing = new ConcurrentLinkedQueue<>();
        for (int piece : pieces) {
            if (!mStore.holds(manifest.model(), manifest.version(), piece)) {
                missing.add(piece);
            }
        }
        return missing;
    }

    private void draw(PieceManifest manifest, HostPort origin, int piece) throws IOException {
        keep(
                manifest,
                piece,
                mOrigin.piece(origin, manifest.model(), manifest.version(), piece),
                origin.toString());
    }

    private void ask(PieceManifest manifest, PiecePlan plan, Map<String, HostPort> peers, int piece)
            throws IOException {
        HostPort peer = peers.get(plan.owner(piece));
        if (peer == null) {
            throw new IOException("the owner of the piece is not known");
        }
        PieceRequest request =
                new PieceRequest(
                        mIdentity.sender(),
                        manifest.model(),
                        manifest.version(),
                        piece,
                        (int) PEER_WAIT.toMillis());
        CompletableFuture<PieceReply> call =
                mClient.call(peer, ServiceStub.PIECES, client -> client.piece(request));
        keep(
                manifest,
                piece,
                contentOf(call).orElseThrow(() -> new IOException("not held")),
                peer.toString());
    }

    private static Optional<byte[]> contentOf(CompletableFuture<PieceReply> call)
            throws IOException {
        try {
            PieceReply reply = call.get(PEER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            return reply.isSetContent() ? Optional.of(reply.getContent()) : Optional.empty();
        } catch (ExecutionException | CompletionException | TimeoutException e) {
            throw new IOException("the peer did not answer", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private void keep(PieceManifest manifest, int piece, byte[] content, String source)
            throws IOException {
        if (!manifest.matches(piece, content)) {
            throw new IOException("the piece from " + source + " is damaged");
        }
        mStore.add(manifest.model(), manifest.version(), piece, content);
    }
}
