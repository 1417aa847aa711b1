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

/** Brings all pieces of a version to the engine beside an agent, each as soon as it has come. */
public final class PieceFetcher {
    /** Threads of a fetch: while one piece is laid at the engine, the next is on its way. */
    public static final int WORKERS = 2;

    /** Pause before a piece that did not come is asked for again. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(50);

    /** Failures of one piece at entries after which the origin is asked. */
    private static final int MAX_ENTRY_FAILURES = 3;

    /** Failures of all pieces after which the fetch begins anew with what is known then. */
    private static final int MAX_TOTAL_FAILURES = 100;

    private final String mVm;
    private final String mRegion;
    private final WeightsOrigin mOrigin;
    private final PieceStore mStore;
    private final PieceClient mClient;
    private final StagingEngine mEngine;
    private final ExecutorService mWorkers;

    /** Whether this process has looked at what an earlier one laid at the engine. */
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
     * @param workers threads, at least {@link #WORKERS}
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
     * Returns the manifest of a version, from an entry of the region or else from the origin.
     *
     * @throws IOException where neither has it
     */
    PieceManifest manifest(PieceSources from, String model, long version) throws IOException {
        for (int failures = 0; failures < MAX_ENTRY_FAILURES; failures++) {
            HostPort supplier = from.servingEntry(mRegion, 0, failures).orElse(null);
            try {
                if (supplier != null) {
                    return mClient.fetchManifest(supplier, model, version);
                }
            } catch (IOException e) {
                Logger.info("the manifest did not come: {}", e.toString());
            }
        }
        HostPort origin = from.origin().orElseThrow(() -> new IOException("no origin is known"));
        return mOrigin.manifest(origin, model, version);
    }

    /** How many pieces are on the VM's link at the same time. */
    enum Parallelism {
        /** Enough to fill the link. */
        FULL(WORKERS),
        /** One, so that requests to a serving engine wait behind one piece at most. */
        WHILE_SERVING(1);

        private final int mMaxInTransit;

        Parallelism(int onLink) {
            mMaxInTransit = onLink;
        }
    }

    /** Fetches what is missing, and stages it where it can; returns whether all is here. */
    boolean fetch(PieceManifest manifest, PieceSources from, Parallelism pace)
            throws InterruptedException {
        if (pace == Parallelism.FULL || !mHasCheckedStaged) {
            adoptStaged(manifest, from);
        }
        List<Integer> wanted = missing(manifest, from);
        if (wanted.isEmpty()) {
            return true;
        }
        Logger.info("fetching {} pieces of version {}", wanted.size(), manifest.version());
        PieceQueue missing = PieceQueue.of(wanted, MAX_TOTAL_FAILURES);
        List<Future<?>> workers = new ArrayList<>();
        Semaphore link = new Semaphore(pace.mMaxInTransit, true);
        for (int i = 0; i < WORKERS; i++) {
            int lane = i;
            workers.add(mWorkers.submit(() -> fetchQueued(missing, manifest, from, link, lane)));
        }
        for (Future<?> worker : workers) {
            join(worker);
        }
        Logger.info(
                "fetched pieces of version {}, {} times one did not come",
                manifest.version(),
                missing.totalFailures());
        return missing(manifest, from).isEmpty();
    }

    /**
     * Takes the pieces that already lie at the engine as they should: they outlast a crash of the
     * engine and of this agent, and need no link.
     */
    private void adoptStaged(PieceManifest manifest, PieceSources from) {
        int adopted = 0;
        try {
            for (int piece : missing(manifest, from)) {
                Optional<byte[]> staged = mEngine.stagedPiece(manifest.model(), piece);
                if (staged.isPresent() && manifest.matches(piece, staged.get())) {
                    mStore.add(manifest.model(), manifest.version(), piece, staged.get());
                    adopted++;
                }
            }
            mHasCheckedStaged = true;
        } catch (IOException e) {
            Logger.debug("what lies at the engine is not known: {}", e.toString());
        }
        if (adopted > 0) {
            Logger.info("{} pieces lay at the engine", adopted);
        }
    }

    private void fetchQueued(
            PieceQueue pieces,
            PieceManifest manifest,
            PieceSources from,
            Semaphore link,
            int lane) {
        while (true) {
            link.acquireUninterruptibly();
            Integer piece = pieces.take();
            Optional<byte[]> content = Optional.empty();
            try {
                if (piece == null) {
                    return;
                }
                content =
                        Optional.of(
                                fetchPiece(manifest, from, piece, pieces.failures(piece), lane));
                mStore.add(manifest.model(), manifest.version(), piece, content.get());
                pieces.completed(piece);
            } catch (IOException e) {
                int failures = pieces.failed(piece);
                Logger.info("piece {} did not come, {} times: {}", piece, failures, e.toString());
                pause();
            } finally {
                link.release();
            }
            content.ifPresent(bytes -> tryStage(manifest.model(), piece, bytes));
        }
    }

    /** Lays a piece at the engine; before a load all are looked at and missing ones laid again. */
    private void tryStage(String model, int piece, byte[] content) {
        try {
            mEngine.stage(model, piece, content);
        } catch (IOException e) {
            Logger.debug("piece {} is staged later: {}", piece, e.toString());
        }
    }

    private byte[] fetchPiece(
            PieceManifest manifest, PieceSources from, int piece, int failures, int lane)
            throws IOException {
        HostPort supplier = from.servingEntry(mRegion, piece, failures).orElse(null);
        if (supplier != null && failures < MAX_ENTRY_FAILURES) {
            return mClient.fetchPiece(supplier, manifest, piece, lane);
        }
        HostPort origin = from.origin().orElseThrow(() -> new IOException("no origin is known"));
        byte[] content = mOrigin.piece(origin, manifest.model(), manifest.version(), piece);
        return manifest.verified(piece, content, origin);
    }

    /** Returns the missing pieces in the order in which this agent asks for them. */
    private List<Integer> missing(PieceManifest manifest, PieceSources from) {
        List<Integer> missing = new ArrayList<>();
        for (int piece : from.pieceOrder(mRegion, mVm).of(manifest.pieces())) {
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
            Logger.error(e, "a worker that fetches pieces failed");
        }
    }
}
