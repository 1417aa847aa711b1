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
import org.sequoiahill.daemon.process.time.Periodic;
import org.sequoiahill.daemon.request.EndpointGate;
import org.sequoiahill.daemon.version.cache.ChunkStore;
import org.sequoiahill.daemon.version.fetch.ChunkClient;
import org.sequoiahill.daemon.version.fetch.ChunkHandler;
import org.sequoiahill.daemon.version.fetch.ChunkRanking;
import org.sequoiahill.daemon.version.fetch.ChunkSender;
import org.sequoiahill.daemon.version.fetch.FetchLimits;
import org.sequoiahill.daemon.version.fetch.HolderTable;
import org.sequoiahill.daemon.version.fetch.LinkGovernor;
import org.sequoiahill.daemon.version.fetch.LinkRate;
import org.sequoiahill.daemon.version.fetch.ManifestClient;
import org.sequoiahill.daemon.version.fetch.ManifestHandler;
import org.sequoiahill.daemon.version.fetch.Member;
import org.sequoiahill.daemon.version.fetch.Members;
import org.sequoiahill.daemon.version.fetch.StoreLease;
import org.sequoiahill.daemon.version.fetch.TokenBucket;
import org.sequoiahill.daemon.version.fetch.TransferCounts;
import org.sequoiahill.daemon.version.fetch.VersionFetch;
import org.sequoiahill.daemon.version.fetch.VersionSupply;
import org.sequoiahill.daemon.version.swap.EngineClient;
import org.sequoiahill.daemon.version.swap.OrderRecord;
import org.sequoiahill.daemon.version.swap.TurnClient;
import org.sequoiahill.daemon.version.swap.VersionLoop;
import org.sequoiahill.protocol.gen.Peer;

/**
 * The parts of an agent that fetch, keep and swap weights, put together.
 *
 * @param versions brings the endpoint to the stated version
 * @param chunks serves chunks to other agents
 * @param manifests serves manifests to other agents
 */
record AgentWeights(VersionLoop versions, Handler chunks, Handler manifests) {
    private static final int CHUNK_THREADS = 4;
    private static final Duration BURST = Duration.ofMillis(50);
    private static final Duration GOVERN_INTERVAL = Duration.ofMillis(500);
    private static final Duration SETTLE = Duration.ofMillis(1_500);

    /** What lives as long as the process. */
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
        TokenBucket receive = bucket(agent, shared);
        TokenBucket send = bucket(agent, shared);
        govern(agent, List.of(receive, send), counts, gate, chunkThreads);
        URI atOrigin = URI.create(agent.origin() + "/" + agent.service());
        VersionFetch.Context context =
                new VersionFetch.Context(
                        settings.vm(),
                        store,
                        ChunkClient.of(
                                shared.http(),
                                atOrigin,
                                settings.data().toString(),
                                receive,
                                counts,
                                chunkThreads),
                        () -> members(settings, announcer),
                        ChunkRanking.rendezvous(),
                        FetchLimits.standard(),
                        StoreLease.of(
                                shared.identity(),
                                shared.control(),
                                settings.stores(),
                                OriginBudget.standard(settings.dataCentres()),
                                () -> announcer.peers().size(),
                                shared.clock()),
                        shared.clock(),
                        shared.random(),
                        chunkThreads);
        VersionLoop versions = versionLoop(settings, shared, announcer, gate, context, atOrigin);
        ChunkHandler chunks =
                ChunkHandler.over(
                        store,
                        HolderTable.standard(),
                        ChunkSender.of(send, counts, chunkThreads),
                        chunkThreads);
        return new AgentWeights(versions, chunks, ManifestHandler.over(store));
    }

    private static VersionLoop versionLoop(
            DaemonSettings settings,
            ProcessServices shared,
            Announcer announcer,
            EndpointGate gate,
            VersionFetch.Context context,
            URI atOrigin) {
        AgentSettings agent = settings.agent().orElseThrow();
        ExecutorService orders =
                Executors.newFixedThreadPool(2, ProcessModule.daemonThreads("version-work"));
        VersionSupply supply =
                VersionSupply.of(
                        context,
                        ManifestClient.of(
                                shared.http(), atOrigin, settings.vm(), context.ranking()),
                        orders,
                        SETTLE);
        TurnClient turns =
                TurnClient.of(
                        agent.service(),
                        shared.identity(),
                        shared.view(),
                        shared.control(),
                        settings.stores(),
                        () -> serving(announcer));
        return VersionLoop.of(
                new VersionLoop.Parts(
                        agent.service(),
                        shared.view(),
                        context.store(),
                        supply,
                        turns,
                        EngineClient.of(agent.engine(), shared.http()),
                        gate,
                        OrderRecord.in(settings.dataFolder().resolve("last-order.json")),
                        shared.clock(),
                        orders),
                agent.checksFencing());
    }

    private static TokenBucket bucket(AgentSettings agent, ProcessServices shared) {
        return TokenBucket.of(shared.clock(), (double) agent.linkBytesPerSecond(), BURST);
    }

    /** Chunks give way to requests on this agent's link. */
    private static void govern(
            AgentSettings agent,
            List<TokenBucket> buckets,
            TransferCounts counts,
            EndpointGate gate,
            ScheduledExecutorService scheduler) {
        LinkGovernor governor =
                LinkGovernor.of(LinkRate.of((double) agent.linkBytesPerSecond()), buckets, counts);
        gate.observeFirstBytes(governor::answered);
        Periodic.every(scheduler, GOVERN_INTERVAL, "link-rate", governor::step);
    }

    private static int serving(Announcer announcer) {
        return (int) announcer.peers().stream().filter(Peer::isServing).count();
    }

    private static Members members(DaemonSettings settings, Announcer announcer) {
        List<Member> near = new ArrayList<>();
        near.add(new Member(settings.vm(), settings.data().toString()));
        for (Peer peer : announcer.peers()) {
            if (!peer.getVm().equals(settings.vm())) {
                near.add(memberOf(peer));
            }
        }
        near.sort(Comparator.comparing(Member::vm));
        List<Member> far = announcer.remotePeers().stream().map(AgentWeights::memberOf).toList();
        return new Members(near, far);
    }

    private static Member memberOf(Peer peer) {
        return new Member(peer.getVm(), peer.getDataAddress());
    }
}
