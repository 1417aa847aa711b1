package org.sequoiahill.daemon.version.fetch;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.process.time.PeriodicTasks;
import org.sequoiahill.daemon.version.cache.ChunkStore;
import org.sequoiahill.protocol.weights.Manifest;
import org.sequoiahill.protocol.weights.Manifest.Chunk;
import org.tinylog.Logger;

/** Fetches one version into this VM's chunk store by carrying out the decisions of a planner. */
public final class VersionFetch {
    private static final Duration INTERVAL = Duration.ofMillis(50);

    private final String mVersion;
    private final Manifest mManifest;
    private final List<Chunk> mChunks;
    private final Dependencies mDependencies;
    private final FetchPlanner mPlanner;
    private final CompletableFuture<Outcome> mOutcome = new CompletableFuture<>();

    private VersionFetch(Manifest manifest, Dependencies dependencies, FetchPlanner planner) {
        mVersion = manifest.digest();
        mManifest = manifest;
        mChunks = manifest.chunks();
        mDependencies = dependencies;
        mPlanner = planner;
    }

    /** How a fetch ended. */
    public enum Outcome {
        /** Every chunk is held. */
        COMPLETE,
        /** The disk failed or is full. */
        DISK_FAILED,
        /** The fetch was cancelled. */
        CANCELLED
    }

    /**
     * Collaborators that all fetches of an agent share.
     *
     * @param ownVm VM of the agent
     * @param store chunk store in which the version is open
     * @param client fetches chunks
     * @param members agents that chunks may be requested from
     * @param ranking order in which agents are asked
     * @param limits limits of the planner
     * @param lease requests leases for origin fetches beyond the data centre's first copy
     * @param clock monotonic clock
     * @param random source of jitter
     * @param scheduler runs the steps
     */
    public record Dependencies(
            String ownVm,
            ChunkStore store,
            ChunkClient client,
            Supplier<Members> members,
            ChunkRanking ranking,
            FetchLimits limits,
            OriginLeaseClient lease,
            MonotonicClock clock,
            RandomGenerator random,
            ScheduledExecutorService scheduler) {}

    /** Starts fetching a version that is open in the chunk store. */
    public static VersionFetch start(Manifest manifest, Dependencies dependencies) {
        FetchPlanner planner =
                FetchPlanner.of(
                        manifest.chunks().stream().map(Chunk::digest).toList(),
                        dependencies.ownVm(),
                        dependencies.members().get().sameDataCentre(),
                        dependencies.ranking(),
                        dependencies.limits(),
                        dependencies.random());
        VersionFetch fetch = new VersionFetch(manifest, dependencies, planner);
        for (int chunk = 0; chunk < fetch.mChunks.size(); chunk++) {
            if (dependencies.store().holds(fetch.mVersion, chunk)) {
                planner.markHeld(chunk);
            }
        }
        Future<?> schedule =
                PeriodicTasks.schedule(dependencies.scheduler(), INTERVAL, "fetch", fetch::step);
        fetch.mOutcome.whenComplete((outcome, failure) -> schedule.cancel(false));
        return fetch;
    }

    /** Returns the digest of the version's manifest. */
    public String version() {
        return mVersion;
    }

    /** Returns the manifest of the version. */
    public Manifest manifest() {
        return mManifest;
    }

    /** Returns a future of the outcome; it never fails. */
    public CompletableFuture<Outcome> outcome() {
        return mOutcome;
    }

    /** Returns the number of chunks held. */
    public int heldChunks() {
        synchronized (mPlanner) {
            return mPlanner.heldChunks();
        }
    }

    /**
     * Cancels the fetch; starts no more attempts, and chunks that are held stay in the chunk store.
     */
    public void cancel() {
        mOutcome.complete(Outcome.CANCELLED);
    }

    private void step() {
        if (mOutcome.isDone()) {
            return;
        }
        Members members = mDependencies.members().get();
        List<FetchPlanner.Step> steps;
        synchronized (mPlanner) {
            mPlanner.membersChanged(members.sameDataCentre(), members.otherDataCentres());
            steps = mPlanner.next(mDependencies.clock().now());
            if (mPlanner.isComplete()) {
                mOutcome.complete(Outcome.COMPLETE);
            }
        }
        for (FetchPlanner.Step step : steps) {
            if (step instanceof FetchPlanner.Step.StartAttempt start) {
                startAttempt(start.attempt());
            } else if (step instanceof FetchPlanner.Step.RequestLease request) {
                mDependencies
                        .lease()
                        .request(mVersion, mChunks.size(), request.chunks())
                        .thenAccept(this::onLeaseAnswer);
            }
        }
    }

    private void startAttempt(FetchAttempt attempt) {
        ChunkStore store = mDependencies.store();
        try {
            if (store.copyFromLocal(mVersion, attempt.chunk())) {
                onResult(attempt, new ChunkClient.FetchResult.Stored());
                return;
            }
        } catch (IOException e) {
            onResult(attempt, new ChunkClient.FetchResult.DiskFailed(e));
            return;
        }
        Chunk chunk = mChunks.get(attempt.chunk());
        mDependencies
                .client()
                .fetch(attempt, mManifest, chunk, store.writer(mVersion, attempt.chunk()))
                .thenAcceptAsync(result -> onResult(attempt, result), mDependencies.scheduler());
    }

    private void onResult(FetchAttempt attempt, ChunkClient.FetchResult result) {
        Duration now = mDependencies.clock().now();
        synchronized (mPlanner) {
            if (result instanceof ChunkClient.FetchResult.Stored) {
                mPlanner.succeeded(attempt);
            } else if (result instanceof ChunkClient.FetchResult.Redirected redirected) {
                mPlanner.redirected(attempt, redirected.addresses());
            } else if (result instanceof ChunkClient.FetchResult.Pending pending) {
                mPlanner.pending(attempt, pending.progress(), now);
            } else if (result instanceof ChunkClient.FetchResult.Failed failed) {
                Logger.debug(
                        "{} at the fetch of chunk {} from {}",
                        failed,
                        attempt.chunk(),
                        attempt.source());
                mPlanner.failed(attempt, failed.failure(), failed.retryAfter(), now);
            } else if (result instanceof ChunkClient.FetchResult.DiskFailed disk) {
                Logger.error(disk.cause(), "the disk of the weights cache failed or is full");
                mOutcome.complete(Outcome.DISK_FAILED);
            }
        }
        mDependencies.scheduler().execute(this::step);
    }

    private void onLeaseAnswer(int chunks) {
        synchronized (mPlanner) {
            mPlanner.leaseAnswered(chunks, mDependencies.clock().now());
        }
    }
}
