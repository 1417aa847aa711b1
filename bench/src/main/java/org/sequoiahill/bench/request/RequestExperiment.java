package org.sequoiahill.bench.request;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sequoiahill.bench.Experiment;
import org.sequoiahill.bench.processes.Await;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;
import org.sequoiahill.bench.processes.Topology.Vm;

/** Added latency over direct calls, and goodput at several times what the endpoints bear. */
@Parameters(commandDescription = "added latency, and goodput under overload")
public final class RequestExperiment implements Experiment {
    /** Target: goodput at the highest load, as a share of what the endpoints bear. */
    private static final double LEAST_GOODPUT = 0.95;

    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final int TOKENS = 10;
    private static final int TOKEN_MILLIS = 20;
    private static final int WARM_UP_SECONDS = 3;

    @Parameter(names = "--seconds", description = "time of each load")
    private int mSeconds = 8;

    @Parameter(names = "--loads", description = "offered loads, times what the endpoints bear")
    private List<Integer> mLoads = List.of(1, 2, 4);

    @Parameter(names = "--prefix", description = "first two octets of the addresses")
    private String mPrefix = "127.23";

    @Override
    public boolean run() throws Exception {
        Topology topology =
                new Topology(
                        mPrefix,
                        List.of(
                                new DataCentre(
                                        "ne-a",
                                        2,
                                        List.of(new Endpoints(Scene.SERVICE, Kind.NONE, 3, 8)))),
                        1);
        BatchEngine.Shape shape = new BatchEngine.Shape(8, TOKEN_MILLIS, 0, 1, 1_000, 2_000);
        double capacity = 3 * 8 / (TOKENS * TOKEN_MILLIS / 1_000.0);
        try (Scene scene = Scene.start(topology, shape)) {
            addedLatency(scene);
            boolean isMet = true;
            for (int times : mLoads) {
                isMet &= overload(scene, times, capacity);
            }
            return isMet;
        }
    }

    private void addedLatency(Scene scene) throws Exception {
        List<String> direct =
                scene.engines().keySet().stream()
                        .map(vm -> "http://" + vm.standIn() + "/")
                        .toList();
        List<String> routed = OpenLoad.urls(scene.entries(""), "/v1/high");
        for (Map.Entry<String, List<String>> way :
                new TreeMap<>(Map.of("direct", direct, "routed", routed)).entrySet()) {
            try (OpenLoad load = OpenLoad.create()) {
                OpenLoad.Stream stream =
                        new OpenLoad.Stream(
                                way.getValue(),
                                org.sequoiahill.bench.processes.Deployment.CALLER_TOKEN,
                                30,
                                TOKENS,
                                DEADLINE);
                OpenLoad.Counts counts = load.start(stream, Duration.ofSeconds(mSeconds));
                awaitSecond(load, mSeconds + 2);
                System.out.printf(
                        "%s first byte p50/p95/p99 %.2f/%.2f/%.2f ms, whole %.2f/%.2f/%.2f ms,"
                                + " %s%n",
                        way.getKey(),
                        counts.firstByteMillis(50),
                        counts.firstByteMillis(95),
                        counts.firstByteMillis(99),
                        counts.wholeMillis(50),
                        counts.wholeMillis(95),
                        counts.wholeMillis(99),
                        counts.describe());
            }
        }
    }

    private boolean overload(Scene scene, int times, double capacity) throws Exception {
        Duration time = Duration.ofSeconds(WARM_UP_SECONDS + (long) mSeconds);
        List<String> entries = scene.entries("");
        try (OpenLoad load = OpenLoad.create()) {
            Map<String, Double> shares = Map.of("high", 0.1, "normal", 0.5, "low", 0.4);
            Map<String, OpenLoad.Counts> counts = new TreeMap<>();
            long cpu = cpuNanos(scene);
            shares.forEach(
                    (priority, share) ->
                            counts.put(
                                    priority,
                                    load.start(
                                            OpenLoad.stream(
                                                    entries,
                                                    priority,
                                                    capacity * times * share,
                                                    TOKENS,
                                                    DEADLINE),
                                            time)));
            int end = WARM_UP_SECONDS + mSeconds;
            awaitSecond(load, end + 3);
            int good = 0;
            int answered = 0;
            for (Map.Entry<String, OpenLoad.Counts> entry : counts.entrySet()) {
                OpenLoad.Counts of = entry.getValue();
                good += of.good(WARM_UP_SECONDS, end);
                answered += of.mAnswered.get();
                System.out.printf(
                        "%dx %-6s first byte p50/p95/p99 %.0f/%.0f/%.0f ms, refusal p99 %.0f ms,"
                                + " %s%n",
                        times,
                        entry.getKey(),
                        of.firstByteMillis(50),
                        of.firstByteMillis(95),
                        of.firstByteMillis(99),
                        of.mRefusal.getValueAtPercentile(99) / 1_000.0,
                        of.describe());
            }
            double goodput = good / (double) mSeconds / Math.min(capacity, capacity * times);
            double cpuMillis = (cpuNanos(scene) - cpu) / 1e6 / Math.max(1, answered);
            System.out.printf(
                    "%dx goodput %.3f of capacity, daemons' processor time %.2f ms an answer%n",
                    times, goodput, cpuMillis);
            return goodput >= LEAST_GOODPUT;
        }
    }

    private static long cpuNanos(Scene scene) {
        long sum = 0;
        Topology topology = scene.deployment().topology();
        for (List<Vm> vms : List.of(topology.entryVms(), topology.endpointVms(Scene.SERVICE))) {
            for (Vm vm : vms) {
                sum +=
                        ProcessHandle.of(scene.deployment().process(vm.name()).pid())
                                .flatMap(handle -> handle.info().totalCpuDuration())
                                .orElse(Duration.ZERO)
                                .toNanos();
            }
        }
        return sum;
    }

    private static void awaitSecond(OpenLoad load, int second) {
        Await.until("second " + second, Duration.ofMinutes(10), () -> load.second() >= second);
    }
}
