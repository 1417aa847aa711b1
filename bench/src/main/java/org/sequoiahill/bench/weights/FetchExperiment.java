package org.sequoiahill.bench.weights;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sequoiahill.bench.Experiment;
import org.sequoiahill.cli.ManifestWriter;
import org.sequoiahill.daemon.process.controller.OriginBudget;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.version.fetch.FetchMember;
import org.sequoiahill.examples.OriginHandler;
import org.sequoiahill.protocol.weights.Manifest;

/** Distributes one version to many agents in several regions over links of limited bandwidth. */
@Parameters(
        commandDescription =
                "time until the first, half and all agents have a version, and bytes that the"
                        + " origin sends")
public final class FetchExperiment implements Experiment {
    private static final String SERVICE = "writer";
    private static final int PORT = 8_100;
    private static final int AGENTS_PER_SUBNET = 200;
    private static final int MAX_CONNECTIONS = 4_096;
    private static final int SERVER_THREADS = 400;
    private static final int SCHEDULER_THREADS = 32;
    private static final double ORIGIN_COPIES_PER_WINDOW = 4;
    private static final double LINK_COPIES_PER_WINDOW = 2;
    private static final long SEED = 1;

    @Parameter(names = "--replicas", description = "total number of agents in all regions")
    private int mReplicas = 10;

    @Parameter(names = "--size", description = "size of the version in bytes")
    private int mSize = 8 << 20;

    @Parameter(names = "--chunk", description = "size of a chunk in bytes")
    private int mChunk = 32 << 10;

    @Parameter(names = "--regions", description = "number of regions")
    private int mRegions = 3;

    @Parameter(
            names = "--window",
            description =
                    "seconds in which the origin can send four copies, and the link of each agent"
                            + " two in each direction")
    private int mWindowSeconds = 12;

    @Parameter(names = "--strategy", description = "origin, chain, tree or scatter")
    private String mStrategy = "scatter";

    @Parameter(names = "--prefix", description = "first two octets of the loopback addresses")
    private String mPrefix = "127.22";

    @Parameter(names = "--folder", description = "folder for temporary files")
    private String mFolder = ".run";

    @Parameter(
            names = "--bound",
            description =
                    "largest accepted ratio of the time until all agents have the version to the"
                            + " lower bound")
    private double mMaxLastRatio = Double.MAX_VALUE;

    /** Returns the experiment with its defaults. */
    public static FetchExperiment create() {
        return new FetchExperiment();
    }

    @Override
    public boolean run() throws Exception {
        Files.createDirectories(Path.of(mFolder));
        Path folder = Files.createTempDirectory(Path.of(mFolder).toAbsolutePath(), "fetch");
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(SCHEDULER_THREADS);
        HttpClient http = new HttpClient();
        http.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        http.start();
        try {
            return run(folder, http, scheduler);
        } finally {
            http.stop();
            scheduler.shutdownNow();
            delete(folder);
        }
    }

    private boolean run(Path folder, HttpClient http, ScheduledExecutorService scheduler)
            throws Exception {
        Manifest manifest = publish(folder);
        double originRate = ORIGIN_COPIES_PER_WINDOW * mSize / mWindowSeconds;
        double linkRate = LINK_COPIES_PER_WINDOW * mSize / mWindowSeconds;
        OriginHandler origin = OriginHandler.of(folder.resolve("origin"), (long) originRate);
        Server originServer = server(Map.of(mPrefix + ".9.1", origin));
        MonotonicClock clock = MonotonicClock.system();
        OriginBudget budget = OriginBudget.standard(mRegions);
        FetchAgent.Shared shared =
                new FetchAgent.Shared(
                        http,
                        URI.create("http://" + mPrefix + ".9.1:" + PORT + "/" + SERVICE),
                        linkRate,
                        clock,
                        (version, chunks, wanted) -> {
                            synchronized (budget) {
                                int granted = budget.grant(version, chunks, wanted, clock.now());
                                return CompletableFuture.completedFuture(granted);
                            }
                        },
                        scheduler);
        List<List<FetchAgent>> regions = agents(folder, shared);
        Server agentServer = server(handlers(regions));
        List<Duration> times = fetchAll(regions, manifest);
        agentServer.stop();
        originServer.stop();
        double originSeconds = mRegions * mSize / originRate;
        return report(times, regions, origin, Math.max(originSeconds, mSize / linkRate));
    }

    private Manifest publish(Path folder) throws IOException {
        Path version = folder.resolve("origin").resolve(SERVICE).resolve("v1");
        Files.createDirectories(version);
        byte[] weights = new byte[mSize];
        new Random(SEED).nextBytes(weights);
        Files.write(version.resolve("model.bin"), weights);
        return ManifestWriter.write(version, "v1", mChunk);
    }

    private List<List<FetchAgent>> agents(Path folder, FetchAgent.Shared shared) {
        List<List<FetchAgent>> regions = new ArrayList<>();
        for (int region = 0; region < mRegions; region++) {
            regions.add(new ArrayList<>());
        }
        for (int i = 0; i < mReplicas; i++) {
            String ip =
                    String.format(
                            Locale.ROOT,
                            "%s.%d.%d",
                            mPrefix,
                            10 + i / AGENTS_PER_SUBNET,
                            1 + i % AGENTS_PER_SUBNET);
            String vm = String.format(Locale.ROOT, "vm-%03d", i);
            FetchMember member = new FetchMember(vm, ip + ":" + PORT);
            regions.get(i % mRegions).add(FetchAgent.of(member, folder.resolve(vm), shared));
        }
        return regions;
    }

    private List<Duration> fetchAll(List<List<FetchAgent>> regions, Manifest manifest)
            throws Exception {
        Strategy strategy = Strategy.valueOf(mStrategy.toUpperCase(Locale.ROOT));
        List<CompletableFuture<Duration>> fetches = new ArrayList<>();
        for (List<FetchAgent> region : regions) {
            List<FetchMember> members = region.stream().map(FetchAgent::member).toList();
            for (FetchAgent agent : region) {
                fetches.add(agent.fetch(manifest, members, strategy));
            }
        }
        List<Duration> times = new ArrayList<>();
        for (CompletableFuture<Duration> fetch : fetches) {
            times.add(fetch.get(mWindowSeconds * (long) (mReplicas + 10), TimeUnit.SECONDS));
        }
        times.sort(null);
        return times;
    }

    private static Map<String, Handler> handlers(List<List<FetchAgent>> regions) {
        Map<String, Handler> handlers = new HashMap<>();
        for (List<FetchAgent> region : regions) {
            for (FetchAgent agent : region) {
                String address = agent.member().address();
                handlers.put(address.substring(0, address.indexOf(':')), agent.handler());
            }
        }
        return handlers;
    }

    /**
     * Starts one server that listens on every address and passes each request to the handler of its
     * address.
     */
    private static Server server(Map<String, Handler> handlers) throws Exception {
        Server server = new Server(new QueuedThreadPool(SERVER_THREADS));
        for (String ip : handlers.keySet()) {
            ServerConnector connector = new ServerConnector(server, 0, 1);
            connector.setHost(ip);
            connector.setPort(PORT);
            server.addConnector(connector);
        }
        // The sequence handles no requests; it starts and stops the handlers with the server.
        Handler.Sequence all = new Handler.Sequence();
        handlers.values().forEach(all::addHandler);
        server.setHandler(
                new Handler.Wrapper(all) {
                    @Override
                    public boolean handle(Request request, Response response, Callback callback)
                            throws Exception {
                        InetSocketAddress local =
                                (InetSocketAddress)
                                        request.getConnectionMetaData().getLocalSocketAddress();
                        Handler handler = handlers.get(local.getAddress().getHostAddress());
                        return handler != null && handler.handle(request, response, callback);
                    }
                });
        server.start();
        return server;
    }

    private boolean report(
            List<Duration> times,
            List<List<FetchAgent>> regions,
            OriginHandler origin,
            double boundSeconds) {
        List<FetchAgent> agents = regions.stream().flatMap(List::stream).toList();
        double maxBytesIn =
                agents.stream()
                        .mapToLong(a -> a.counts().fromOrigin() + a.counts().fromPeers())
                        .max()
                        .orElse(0);
        double maxBytesOut = agents.stream().mapToLong(a -> a.counts().toPeers()).max().orElse(0);
        ObjectNode result = JsonMapper.builder().build().createObjectNode();
        result.put("strategy", mStrategy);
        result.put("replicas", mReplicas);
        result.put("sizeBytes", mSize);
        result.put("chunkBytes", mChunk);
        result.put("boundSeconds", boundSeconds);
        // The times are written as multiples of the lower bound.
        result.put("first", seconds(times.get(0)) / boundSeconds);
        result.put("half", seconds(times.get((times.size() - 1) / 2)) / boundSeconds);
        result.put("last", seconds(times.get(times.size() - 1)) / boundSeconds);
        result.put("originCopies", origin.sentBytes() / (double) mSize);
        result.put("mostCopiesIn", maxBytesIn / mSize);
        result.put("mostCopiesOut", maxBytesOut / mSize);
        System.out.printf(
                Locale.ROOT,
                "%-8s %4d replicas  bound %.2f s  first/half/last %.2f/%.2f/%.2f times the bound"
                        + "  copies: sent by origin %.2f  most received by a replica %.2f"
                        + "  most sent by a replica %.2f%n",
                mStrategy,
                mReplicas,
                boundSeconds,
                result.path("first").asDouble(),
                result.path("half").asDouble(),
                result.path("last").asDouble(),
                result.path("originCopies").asDouble(),
                result.path("mostCopiesIn").asDouble(),
                result.path("mostCopiesOut").asDouble());
        System.out.println(result);
        return result.path("last").asDouble() <= mMaxLastRatio;
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(path);
            }
        }
    }
}
