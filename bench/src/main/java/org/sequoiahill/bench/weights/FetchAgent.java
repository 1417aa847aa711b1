package org.sequoiahill.bench.weights;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.version.cache.ChunkStore;
import org.sequoiahill.daemon.version.fetch.ChunkClient;
import org.sequoiahill.daemon.version.fetch.ChunkHandler;
import org.sequoiahill.daemon.version.fetch.ChunkSender;
import org.sequoiahill.daemon.version.fetch.FetchLimits;
import org.sequoiahill.daemon.version.fetch.FetchMember;
import org.sequoiahill.daemon.version.fetch.HolderTable;
import org.sequoiahill.daemon.version.fetch.Members;
import org.sequoiahill.daemon.version.fetch.OriginLeaseClient;
import org.sequoiahill.daemon.version.fetch.TokenBucket;
import org.sequoiahill.daemon.version.fetch.TransferCounts;
import org.sequoiahill.daemon.version.fetch.VersionFetch;
import org.sequoiahill.protocol.weights.Manifest;

/** The fetch part of one agent: the daemon's own code over a link of limited bandwidth. */
final class FetchAgent {
    private static final Duration BURST = Duration.ofMillis(50);

    private final FetchMember mMember;
    private final ChunkStore mStore;
    private final TransferCounts mCounts = TransferCounts.create();
    private final Shared mShared;
    private final Handler mHandler;

    private FetchAgent(FetchMember member, Path folder, Shared shared) {
        mMember = member;
        mShared = shared;
        mStore = ChunkStore.in(folder, Long.MAX_VALUE);
        mHandler =
                ChunkHandler.over(
                        mStore,
                        HolderTable.standard(),
                        ChunkSender.of(bucket(), mCounts, shared.scheduler()),
                        shared.scheduler());
    }

    /** Dependencies and settings shared by all agents of a run. */
    record Shared(
            HttpClient http,
            URI serviceAtOrigin,
            double linkBytesPerSecond,
            MonotonicClock clock,
            OriginLeaseClient lease,
            ScheduledExecutorService scheduler) {}

    static FetchAgent of(FetchMember member, Path folder, Shared shared) {
        return new FetchAgent(member, folder, shared);
    }

    FetchMember member() {
        return mMember;
    }

    Handler handler() {
        return mHandler;
    }

    TransferCounts counts() {
        return mCounts;
    }

    /**
     * Fetches a version; completes with the time from the start until every file was verified, or
     * exceptionally if the version is not complete after the fetch.
     */
    CompletableFuture<Duration> fetch(
            Manifest manifest, List<FetchMember> region, Strategy strategy) throws IOException {
        mStore.prepare(manifest, Set.of(), "");
        Duration start = mShared.clock().now();
        ChunkClient client =
                ChunkClient.of(
                        mShared.http(),
                        mShared.serviceAtOrigin(),
                        mMember.address(),
                        bucket(),
                        mCounts,
                        mShared.scheduler());
        VersionFetch.Dependencies dependencies =
                new VersionFetch.Dependencies(
                        mMember.vm(),
                        mStore,
                        client,
                        () -> new Members(region, List.of()),
                        strategy.ranking(mMember),
                        FetchLimits.standard(),
                        mShared.lease(),
                        mShared.clock(),
                        new Random(mMember.vm().hashCode()),
                        mShared.scheduler());
        return VersionFetch.start(manifest, dependencies)
                .outcome()
                .thenApplyAsync(outcome -> verifiedAfter(manifest, start), mShared.scheduler());
    }

    private Duration verifiedAfter(Manifest manifest, Duration start) {
        try {
            if (!mStore.verify(manifest.digest())) {
                throw new IllegalStateException(
                        mMember.vm() + ": the version is not complete after the fetch");
            }
            return mShared.clock().now().minus(start);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private TokenBucket bucket() {
        return TokenBucket.of(mShared.clock(), mShared.linkBytesPerSecond(), BURST);
    }
}
