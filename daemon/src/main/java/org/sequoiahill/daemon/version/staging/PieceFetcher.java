package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.PieceReply;
import org.sequoiahill.protocol.gen.PieceRequest;
import org.tinylog.Logger;

/** Brings all pieces of a version into the store: its own from the origin, the rest from agents. */
public final class PieceFetcher {
    /** Pieces on their way at the same time from the origin. */
    private static final int ORIGIN_WORKERS = 2;

    /** Pieces asked of other agents at the same time; these pace what they send. */
    private static final int PEER_WORKERS = 8;

    /** Threads that one fetch needs. */
    public static final int WORKERS = ORIGIN_WORKERS + PEER_WORKERS;

    /** Wait at a peer for a piece that it is getting itself. */
    private static final Duration PEER_WAIT = Duration.ofMillis(400);

    /** Pause before a piece that did not come is asked for again. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(40);

    /** Failures of one piece at its source after which the origin is asked. */
    private static final int FAILURES_TO_ORIGIN = 3;

    /** Failures of all pieces after which the fetch begins anew with what is known then. */
    private static final int MAX_FAILURES = 400;

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

    /**
     * Returns a fetcher.
     *
     * @param workers threads, at least {@link #WORKERS}
     */
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
     * @param plan from whom each piece comes
     * @param peers control addresses of agents, by name
     * @return whether all pieces are here
     */
    boolean fetch(
            PieceManifest manifest, HostPort origin, PiecePlan plan, Map<String, HostPort> peers)
            throws InterruptedException {
        PieceQueue own = PieceQueue.of(missing(manifest, plan.own()), MAX_FAILURES);
        PieceQueue others = PieceQueue.of(missing(manifest, plan.others()), MAX_FAILURES);
        List<Future<?>> workers = new ArrayList<>();
        for (int i = 0; i < ORIGIN_WORKERS; i++) {
            workers.add(mWorkers.submit(() -> drain(own, piece -> draw(manifest, origin, piece))));
        }
        for (int i = 0; i < PEER_WORKERS; i++) {
            int lane = i;
            Fetch fetch =
                    piece -> {
                        int failures = others.failures(piece);
                        if (failures >= FAILURES_TO_ORIGIN) {
                            return draw(manifest, origin, piece);
                        }
                        return ask(manifest, source(plan, peers, piece, failures), piece, lane);
                    };
            workers.add(mWorkers.submit(() -> drain(others, fetch)));
        }
        for (Future<?> worker : workers) {
            join(worker);
        }
        return missing(manifest, plan.own()).isEmpty()
                && missing(manifest, plan.others()).isEmpty();
    }

    /** Fetches one piece. */
    @FunctionalInterface
    private interface Fetch {
        /** Returns false where the source has the piece but serves others first. */
        boolean run(int piece) throws IOException;
    }

    private static void drain(PieceQueue pieces, Fetch fetch) {
        for (Integer piece = pieces.take(); piece != null; piece = pieces.take()) {
            try {
                if (fetch.run(piece)) {
                    pieces.came(piece);
                } else {
                    pieces.later(piece);
                }
            } catch (IOException e) {
                if (pieces.failed(piece) == FAILURES_TO_ORIGIN) {
                    Logger.info("piece {} did not come: {}", piece, e.toString());
                }
                try {
                    TimeUnit.NANOSECONDS.sleep(RETRY_PAUSE.toNanos());
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                    return;
                }
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

    private List<Integer> missing(PieceManifest manifest, List<Integer> pieces) {
        return pieces.stream()
                .filter(piece -> !mStore.holds(manifest.model(), manifest.version(), piece))
                .toList();
    }

    private boolean draw(PieceManifest manifest, HostPort origin, int piece) throws IOException {
        byte[] content = mOrigin.piece(origin, manifest.model(), manifest.version(), piece);
        return keep(manifest, piece, content, origin);
    }

    /** Returns the agent that the plan names, or after a failure any other one. */
    private static HostPort source(
            PiecePlan plan, Map<String, HostPort> peers, int piece, int failures)
            throws IOException {
        HostPort planned = plan.source(piece).map(peers::get).orElse(null);
        List<HostPort> others = List.copyOf(peers.values());
        if (failures == 0 && planned != null) {
            return planned;
        }
        if (others.isEmpty()) {
            throw new IOException("no other agent is known");
        }
        return others.get((piece + failures) % others.size());
    }

    private boolean ask(PieceManifest manifest, HostPort peer, int piece, int lane)
            throws IOException {
        PieceRequest request =
                new PieceRequest(
                        mIdentity.sender(),
                        manifest.model(),
                        manifest.version(),
                        piece,
                        (int) PEER_WAIT.toMillis());
        try {
            PieceReply reply =
                    mClient.call(peer, ServiceStub.PIECES, lane, client -> client.piece(request))
                            .join();
            if (reply.isBusy()) {
                return false;
            }
            if (!reply.isSetContent()) {
                throw new IOException("the agent does not have the piece yet");
            }
            return keep(manifest, piece, reply.getContent(), peer);
        } catch (CompletionException e) {
            throw new IOException("the agent at " + peer + " did not answer", e);
        }
    }

    private boolean keep(PieceManifest manifest, int piece, byte[] content, HostPort source)
            throws IOException {
        if (!manifest.matches(piece, content)) {
            throw new IOException("the piece from " + source + " is damaged");
        }
        mStore.add(manifest.model(), manifest.version(), piece, content);
        return true;
    }
}
