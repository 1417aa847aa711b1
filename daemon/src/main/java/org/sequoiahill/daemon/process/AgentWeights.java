package org.sequoiahill.daemon.process;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.controller.OriginBudget;
import org.sequoiahill.daemon.process.directory.Announcer;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.AgentSettings;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.process.time.PeriodicTasks;
import org.sequoiahill.daemon.request.EndpointGate;
import org.sequoiahill.daemon.version.cache.ChunkStore;
import org.sequoiahill.daemon.version.fetch.ChunkClient;
import org.sequoiahill.daemon.version.fetch.ChunkHandler;
import org.sequoiahill.daemon.version.fetch.ChunkRanking;
import org.sequoiahill.daemon.version.fetch.ChunkSender;
import org.sequoiahill.daemon.version.fetch.FetchLimits;
import org.sequoiahill.daemon.version.fetch.FetchMember;
import org.sequoiahill.daemon.version.fetch.HolderTable;
import org.sequoiahill.daemon.version.fetch.LinkRateController;
import org.sequoiahill.daemon.version.fetch.LinkRatePolicy;
import org.sequoiahill.daemon.version.fetch.ManifestClient;
import org.sequoiahill.daemon.version.fetch.ManifestHandler;
import org.sequoiahill.daemon.version.fetch.Members;
import org.sequoiahill.daemon.version.fetch.StoreLeaseClient;
import org.sequoiahill.daemon.version.fetch.TokenBucket;
import org.sequoiahill.daemon.version.fetch.TransferCounts;
import org.sequoiahill.daemon.version.fetch.VersionFetch;
import org.sequoiahill.daemon.version.fetch.VersionProvisioner;
import org.sequoiahill.daemon.version.swap.EngineClient;
import org.sequoiahill.daemon.version.swap.LoadOrderFile;
import org.sequoiahill.daemon.version.swap.SwapLeaseClient;
import org.sequoiahill.daemon.version.swap.VersionReconciler;
import org.sequoiahill.protocol.gen.Peer;

/**
 * The components of an agent that fetch, store and swap weights.
 *
 * @param versions brings the endpoint to the configured version
 * @param chunks serves chunks to other agents
 * @param manifests serves manifests to other agents
 */
record AgentWeights(VersionReconciler versions, Handler chunks, Handler manifests) {
    private static final int CHUNK_THREADS = 4;
    private static final Duration BURST = Duration.ofMillis(50);
    private static final Duration RATE_ADJUSTMENT_INTERVAL = Duration.ofMillis(500);

    /** Time after the start until an entry is expected to have listed the other agents. */
    private static final Duration MEMBERS_SETTLE_TIME = Duration.ofMillis(1_500);

    /** Objects that live as long as the process. */
    record ProcessServices(
            Identity identity,
            ConfigurationView view,
            ControlClient control,
            HttpClient http,
            MonotonicClock clock,
            RandomGenerator random) {}

    static AgentWeights of(
            DaemonSettings settings,
            ProcessServices shared,
            Announcer announcer,
            EndpointGate gate) {
        AgentSettings agent = settings.agent().orElseThrow();
        Path folder = settings.dataFolder();
        ChunkStore store = ChunkStore.in(folder.resolve("weights"), agent.cacheBytes());
        TransferCounts counts = TransferCounts.create();
        ScheduledExecutorService chunkThreads =
                Executors.newScheduledThreadPool(
                        CHUNK_THREADS, ProcessModule.daemonThreads("chunks"));
        TokenBucket receiveBucket = createBucket(agent, shared);
        TokenBucket sendBucket = createBucket(agent, shared);
        startLinkRateControl(agent, List.of(receiveBucket, sendBucket), counts, gate, chunkThreads);
        URI originUri = URI.create(agent.origin() + "/" + agent.service());
        VersionFetch.Dependencies dependencies =
                new VersionFetch.Dependencies(
                        settings.vm(),
                        store,
                        ChunkClient.of(
                                shared.http(),
                                originUri,
                                settings.data().toString(),
                                receiveBucket,
                                counts,
                                chunkThreads),
                        () -> members(settings, announcer),
                        ChunkRanking.rendezvous(),
                        FetchLimits.standard(),
                        StoreLeaseClient.of(
                                shared.identity(),
                                shared.control(),
                                settings.stores(),
                                OriginBudget.standard(settings.entryDataCentreCount()),
                                () -> announcer.peers().size(),
                                shared.clock()),
                        shared.clock(),
                        shared.random(),
                        chunkThreads);
        VersionReconciler versions =
                createReconciler(settings, shared, announcer, gate, dependencies, originUri);
        ChunkHandler chunks =
                ChunkHandler.over(
                        store,
                        HolderTable.standard(),
                        ChunkSender.of(sendBucket, counts, chunkThreads),
                        chunkThreads);
        return new AgentWeights(versions, chunks, ManifestHandler.over(store));
    }

    private static VersionReconciler createReconciler(
            DaemonSettings settings,
            ProcessServices shared,
            Announcer announcer,
            EndpointGate gate,
            VersionFetch.Dependencies dependencies,
            URI originUri) {
        AgentSettings agent = settings.agent().orElseThrow();
        ExecutorService versionThreads =
                Executors.newFixedThreadPool(2, ProcessModule.daemonThreads("version-work"));
        VersionProvisioner provisioner =
                VersionProvisioner.of(
                        dependencies,
                        ManifestClient.of(
                                shared.http(), originUri, settings.vm(), dependencies.ranking()),
                        versionThreads,
                        MEMBERS_SETTLE_TIME);
        SwapLeaseClient swapLeases =
                SwapLeaseClient.of(
                        agent.service(),
                        shared.identity(),
                        shared.view(),
                        shared.control(),
                        settings.stores(),
                        () -> servingPeers(announcer));
        return VersionReconciler.of(
                new VersionReconciler.Dependencies(
                        agent.service(),
                        shared.view(),
                        dependencies.store(),
                        provisioner,
                        swapLeases,
                        EngineClient.of(agent.engine(), shared.http()),
                        gate,
                        LoadOrderFile.in(settings.dataFolder().resolve("last-order.json")),
                        shared.clock(),
                        versionThreads),
                agent.checksFencing());
    }

    private static TokenBucket createBucket(AgentSettings agent, ProcessServices shared) {
        return TokenBucket.of(shared.clock(), (double) agent.linkBytesPerSecond(), BURST);
    }

    /** Starts the control that makes chunk transfers yield to requests on this agent's link. */
    private static void startLinkRateControl(
            AgentSettings agent,
            List<TokenBucket> buckets,
            TransferCounts counts,
            EndpointGate gate,
            ScheduledExecutorService scheduler) {
        LinkRateController controller =
                LinkRateController.of(
                        LinkRatePolicy.of((double) agent.linkBytesPerSecond()), buckets, counts);
        gate.observeFirstBytes(controller::recordFirstByteLatency);
        PeriodicTasks.schedule(
                scheduler, RATE_ADJUSTMENT_INTERVAL, "link-rate", controller::adjust);
    }

    private static int servingPeers(Announcer announcer) {
        return (int) announcer.peers().stream().filter(Peer::isServing).count();
    }

    private static Members members(DaemonSettings settings, Announcer announcer) {
        List<FetchMember> sameDataCentre = new ArrayList<>();
        sameDataCentre.add(new FetchMember(settings.vm(), settings.data().toString()));
        for (Peer peer : announcer.peers()) {
            if (!peer.getVm().equals(settings.vm())) {
                sameDataCentre.add(memberOf(peer));
            }
        }
        sameDataCentre.sort(Comparator.comparing(FetchMember::vm));
        List<FetchMember> otherDataCentres =
                announcer.remotePeers().stream().map(AgentWeights::memberOf).toList();
        return new Members(sameDataCentre, otherDataCentres);
    }

    private static FetchMember memberOf(Peer peer) {
        return new FetchMember(peer.getVm(), peer.getDataAddress());
    }
}
