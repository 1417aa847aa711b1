package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.tinylog.Logger;

/**
 * Fetches all pieces of a version for an agent, and stages each at the engine as soon as it
 * arrives.
 */
public final class PieceFetcher {
    /**
     * Threads of a fetch: while one piece is being staged at the engine, the next is in transit.
     */
    public static final int WORKERS = 2;

    /** Pause of a worker after a failed attempt to fetch a piece. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(50);

    /**
     * Failed attempts for a manifest or a piece at entries, after which it is fetched from the
     * origin.
     */
    private static final int MAX_ENTRY_FAILURES = 3;

    /**
     * Failed attempts for all pieces together, after which the fetch ends incomplete and the caller
     * starts another one from a newer snapshot of the fleet.
     */
    private static final int MAX_TOTAL_FAILURES = 100;

    private final String mVm;
    private final String mRegion;
    private final WeightsOrigin mOrigin;
    private final PieceStore mStore;
    private final PieceClient mClient;
    private final StagingEngine mEngine;
    private final ExecutorService mWorkers;

    /** Whether this process has checked which pieces an earlier process staged at the engine. */
    private boolean mHasCheckedStaged;

    private PieceFetcher(
            Identity identity,
            String region,
            WeightsOrigin origin,
            PieceStore store,
            StagingEngine engine,
            ControlClient client,
            ExecutorService workers) {
        mVm = identity.vm();
        mRegion = region;
        mOrigin = origin;
        mStore = store;
        mClient = new PieceClient(identity, client);
        mEngine = engine;
        mWorkers = workers;
    }

    /**
     * Returns a fetcher.
     *
     * @param region region of the agent
     * @param workers executor with at least {@link #WORKERS} threads
     */
    public static PieceFetcher of(
            Identity identity,
            String region,
            WeightsOrigin origin,
            PieceStore store,
            StagingEngine engine,
            ControlClient client,
            ExecutorService workers) {
        return new PieceFetcher(identity, region, origin, store, engine, client, workers);
    }

    /**
     * Returns the manifest of a version from an entry that serves the region, or from the origin if
     * the entries fail.
     *
     * @throws IOException if the origin fails too
     */
    VersionManifest manifest(PieceSources sources, String model, long version) throws IOException {
        return new VersionManifest(firstCopy(sources, model, version), () -> {});
    }

    private PieceManifest firstCopy(PieceSources sources, String model, long version)
            throws IOException {
        for (int failures = 0; failures < MAX_ENTRY_FAILURES; failures++) {
            HostPort entry = sources.servingEntry(mRegion, 0, failures).orElse(null);
            try {
                if (entry != null) {
                    return sources.checked(mClient.fetchManifest(entry, model, version));
                }
            } catch (IOException e) {
                Logger.info("can't fetch the manifest from an entry: {}", e.toString());
            }
        }
        HostPort origin =
                sources.origin()
                        .orElseThrow(() -> new IOException("the routing table has no origin"));
        return sources.checked(mOrigin.manifest(origin, model, version));
    }

    /** How many pieces are in transit on the VM's link at the same time. */
    enum Parallelism {
        /** Enough to fill the link. */
        FULL(WORKERS),
        /** One, so that at most one piece delays the requests to an engine that is serving. */
        WHILE_SERVING(1);

        private final int mMaxInTransit;

        Parallelism(int maxInTransit) {
            mMaxInTransit = maxInTransit;
        }
    }

    /**
     * Fetches the missing pieces and tries to stage them; returns whether the store then holds
     * every piece.
     */
    boolean fetch(VersionManifest version, PieceSources sources, Parallelism parallelism)
            throws InterruptedException {
        PieceManifest manifest = version.current();
        if (parallelism == Parallelism.FULL || !mHasCheckedStaged) {
            adoptStaged(manifest, sources);
        }
        List<Integer> missing = missing(manifest, sources);
        if (missing.isEmpty()) {
            return true;
        }
        Logger.info("fetching {} pieces of version {}", missing.size(), manifest.version());
        PieceQueue queue = PieceQueue.of(missing, MAX_TOTAL_FAILURES);
        List<Future<?>> workers = new ArrayList<>();
        Semaphore inTransit = new Semaphore(parallelism.mMaxInTransit, true);
        for (int i = 0; i < WORKERS; i++) {
            int connection = i;
            workers.add(
                    mWorkers.submit(
                            () -> fetchQueued(queue, version, sources, inTransit, connection)));
        }
        for (Future<?> worker : workers) {
            join(worker);
        }
        Logger.info(
                "fetch of version {} ended, {} failed attempts",
                manifest.version(),
                queue.totalFailures());
        return missing(manifest, sources).isEmpty();
    }

    /**
     * Adds the intact pieces that are already staged at the engine to the store. They survive a
     * crash of the engine or of this agent, and reading them back uses no network.
     */
    private void adoptStaged(PieceManifest manifest, PieceSources sources) {
        int adopted = 0;
        try {
            for (int piece : missing(manifest, sources)) {
                Optional<byte[]> staged = mEngine.stagedPiece(manifest.model(), piece);
                if (staged.isPresent() && manifest.matches(piece, staged.get())) {
                    mStore.add(manifest.model(), manifest.version(), piece, staged.get());
                    adopted++;
                }
            }
            mHasCheckedStaged = true;
        } catch (IOException e) {
            Logger.debug("can't read the staged pieces: {}", e.toString());
        }
        if (adopted > 0) {
            Logger.info("{} pieces were already staged at the engine", adopted);
        }
    }

    private void fetchQueued(
            PieceQueue pieces,
            VersionManifest version,
            PieceSources sources,
            Semaphore inTransit,
            int connection) {
        PieceManifest manifest = version.current();
        while (true) {
            inTransit.acquireUninterruptibly();
            Integer piece = pieces.take();
            Optional<byte[]> content = Optional.empty();
            try {
                if (piece == null) {
                    return;
                }
                content =
                        Optional.of(
                                fetchPiece(
                                        version,
                                        sources,
                                        piece,
                                        pieces.failures(piece),
                                        connection));
                mStore.add(manifest.model(), manifest.version(), piece, content.get());
                pieces.completed(piece);
            } catch (IOException e) {
                int failures = pieces.failed(piece);
                Logger.info(
                        "fetch of piece {} failed ({} attempts so far): {}",
                        piece,
                        failures,
                        e.toString());
                pause();
            } finally {
                inTransit.release();
            }
            content.ifPresent(bytes -> tryStage(manifest.model(), piece, bytes));
        }
    }

    /**
     * Stages a piece. A failure is harmless: before a load the agent checks all pieces and stages
     * missing ones again.
     */
    private void tryStage(String model, int piece, byte[] content) {
        try {
            mEngine.stage(model, piece, content);
        } catch (IOException e) {
            Logger.debug("can't stage piece {} yet: {}", piece, e.toString());
        }
    }

    private byte[] fetchPiece(
            VersionManifest version, PieceSources sources, int piece, int failures, int connection)
            throws IOException {
        String model = version.current().model();
        long number = version.current().version();
        HostPort entry = sources.servingEntry(mRegion, piece, failures).orElse(null);
        if (entry != null && failures < MAX_ENTRY_FAILURES) {
            byte[] content = mClient.fetchPiece(entry, model, number, piece, connection);
            VersionManifest.CopySource copy =
                    () -> sources.checked(mClient.fetchManifest(entry, model, number));
            return accepted(version, piece, content, entry, copy);
        }
        HostPort origin =
                sources.origin()
                        .orElseThrow(() -> new IOException("the routing table has no origin"));
        byte[] content = mOrigin.piece(origin, model, number, piece);
        VersionManifest.CopySource copy =
                () -> sources.checked(mOrigin.manifest(origin, model, number));
        return accepted(version, piece, content, origin, copy);
    }

    private static byte[] accepted(
            VersionManifest version,
            int piece,
            byte[] content,
            HostPort source,
            VersionManifest.CopySource copy)
            throws IOException {
        if (!version.accepts(piece, content, List.of(copy))) {
            throw new IOException("piece " + piece + " from " + source + " is corrupt");
        }
        return content;
    }

    /** Returns the missing pieces in the order in which this agent requests them. */
    private List<Integer> missing(PieceManifest manifest, PieceSources sources) {
        List<Integer> missing = new ArrayList<>();
        for (int piece : sources.pieceOrder(mRegion, mVm).sequence(manifest.pieces())) {
            if (!mStore.holds(manifest.model(), manifest.version(), piece)) {
                missing.add(piece);
            }
        }
        return missing;
    }

    private static void pause() {
        try {
            TimeUnit.NANOSECONDS.sleep(RETRY_PAUSE.toNanos());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void join(Future<?> worker) throws InterruptedException {
        try {
            worker.get();
        } catch (ExecutionException e) {
            Logger.error(e, "a piece fetch worker failed");
        }
    }
}
