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

/** Fetches one version into the store by carrying out what a planner decides. */
public final class VersionFetch {
    private static final Duration INTERVAL = Duration.ofMillis(50);

    private final String mVersion;
    private final Manifest mManifest;
    private final List<Chunk> mChunks;
    private final Dependencies mDependencies;
    private final FetchPlanner mPlanner;
    private final CompletableFuture<Outcome> mOutcome = new CompletableFuture<>();

    private VersionFetch(Manifest manifest, Dependencies context, FetchPlanner planner) {
        mVersion = manifest.digest();
        mManifest = manifest;
        mChunks = manifest.chunks();
        mDependencies = context;
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
     * What every fetch of an agent shares.
     *
     * @param ownVm VM of the agent
     * @param store store that the version is opened in
     * @param client draws chunks
     * @param members agents that may be asked
     * @param ranking order in which they are asked
     * @param limits bounds
     * @param lease grants draws beyond the first copy of the region
     * @param clock time
     * @param random jitter
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

    /** Starts to fetch a version that is opened in the store. */
    public static VersionFetch start(Manifest manifest, Dependencies context) {
        FetchPlanner planner =
                FetchPlanner.of(
                        manifest.chunks().stream().map(Chunk::digest).toList(),
                        context.ownVm(),
                        context.members().get().sameRegion(),
                        context.ranking(),
                        context.limits(),
                        context.random());
        VersionFetch fetch = new VersionFetch(manifest, context, planner);
        for (int chunk = 0; chunk < fetch.mChunks.size(); chunk++) {
            if (context.store().holds(fetch.mVersion, chunk)) {
                planner.markHeld(chunk);
            }
        }
        Future<?> schedule =
                PeriodicTasks.schedule(context.scheduler(), INTERVAL, "fetch", fetch::step);
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

    /** Completes with the end of the fetch; never fails. */
    public CompletableFuture<Outcome> outcome() {
        return mOutcome;
    }

    /** Returns the chunks held. */
    public int heldChunks() {
        synchronized (mPlanner) {
            return mPlanner.heldChunks();
        }
    }

    /** Ends the fetch; chunks that are held stay. */
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
            mPlanner.membersChanged(members.sameRegion(), members.otherRegions());
            steps = mPlanner.next(mDependencies.clock().now());
            if (mPlanner.isComplete()) {
                mOutcome.complete(Outcome.COMPLETE);
            }
        }
        for (FetchPlanner.Step step : steps) {
            if (step instanceof FetchPlanner.Step.StartAttempt begin) {
                startAttempt(begin.attempt());
            } else if (step instanceof FetchPlanner.Step.RequestLease ask) {
                mDependencies
                        .lease()
                        .request(mVersion, mChunks.size(), ask.chunks())
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
                .thenAcceptAsync(drawn -> onResult(attempt, drawn), mDependencies.scheduler());
    }

    private void onResult(FetchAttempt attempt, ChunkClient.FetchResult drawn) {
        Duration now = mDependencies.clock().now();
        synchronized (mPlanner) {
            if (drawn instanceof ChunkClient.FetchResult.Stored) {
                mPlanner.succeeded(attempt);
            } else if (drawn instanceof ChunkClient.FetchResult.Redirected sentOn) {
                mPlanner.redirected(attempt, sentOn.addresses());
            } else if (drawn instanceof ChunkClient.FetchResult.Pending pending) {
                mPlanner.pending(attempt, pending.progress(), now);
            } else if (drawn instanceof ChunkClient.FetchResult.Failed failed) {
                Logger.debug("{} of chunk {}: {}", failed, attempt.chunk(), attempt.source());
                mPlanner.failed(attempt, failed.failure(), failed.retryAfter(), now);
            } else if (drawn instanceof ChunkClient.FetchResult.DiskFailed disk) {
                Logger.error(disk.cause(), "the disk of weights failed or is full");
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
