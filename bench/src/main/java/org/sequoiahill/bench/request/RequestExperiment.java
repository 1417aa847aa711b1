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

/** Measures added latency over direct calls, and goodput at multiples of the capacity. */
@Parameters(commandDescription = "added latency, and goodput under overload")
public final class RequestExperiment implements Experiment {
    /** Target for the goodput at each load, as a fraction of the smaller of load and capacity. */
    private static final double MIN_GOODPUT = 0.95;

    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final int TOKENS = 10;
    private static final int TOKEN_MILLIS = 20;
    private static final int WARM_UP_SECONDS = 3;

    /** Load in requests per second that is sent directly, and then through the entries. */
    private static final double LATENCY_LOAD = 30;

    @Parameter(names = "--seconds", description = "length of each load in seconds")
    private int mSeconds = 8;

    @Parameter(names = "--loads", description = "offered loads, as multiples of the capacity")
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
                                        List.of(
                                                new Endpoints(
                                                        RequestTestbed.SERVICE, Kind.NONE, 3, 8)))),
                        1);
        // Each of the three engines processes 8 requests at once, and is never cold.
        BatchEngine.Parameters parameters =
                new BatchEngine.Parameters(8, TOKEN_MILLIS, 0, 1, 1_000, 2_000);
        double capacity = 3 * 8 / (TOKENS * TOKEN_MILLIS / 1_000.0);
        try (RequestTestbed testbed = RequestTestbed.start(topology, parameters)) {
            measureAddedLatency(testbed);
            boolean isMet = true;
            for (int loadFactor : mLoads) {
                isMet &= measureOverload(testbed, loadFactor, capacity);
            }
            return isMet;
        }
    }

    private void measureAddedLatency(RequestTestbed testbed) throws Exception {
        List<String> direct =
                testbed.engines().keySet().stream()
                        .map(vm -> "http://" + vm.standIn() + "/")
                        .toList();
        List<String> routed = OpenLoopLoad.urls(testbed.entries(""), "/v1/high");
        for (Map.Entry<String, List<String>> path :
                new TreeMap<>(Map.of("direct", direct, "routed", routed)).entrySet()) {
            try (OpenLoopLoad load = OpenLoopLoad.create()) {
                OpenLoopLoad.RequestStream stream =
                        new OpenLoopLoad.RequestStream(
                                path.getValue(),
                                org.sequoiahill.bench.processes.Deployment.CALLER_TOKEN,
                                LATENCY_LOAD,
                                TOKENS,
                                DEADLINE);
                OpenLoopLoad.Counts counts = load.start(stream, Duration.ofSeconds(mSeconds));
                awaitSecond(load, mSeconds + 2);
                System.out.printf(
                        "%s first byte p50/p95/p99 %.2f/%.2f/%.2f ms, response %.2f/%.2f/%.2f ms,"
                                + " %s%n",
                        path.getKey(),
                        counts.firstByteMillis(50),
                        counts.firstByteMillis(95),
                        counts.firstByteMillis(99),
                        counts.responseMillis(50),
                        counts.responseMillis(95),
                        counts.responseMillis(99),
                        counts.describe());
            }
        }
    }

    private boolean measureOverload(RequestTestbed testbed, int loadFactor, double capacity)
            throws Exception {
        Duration duration = Duration.ofSeconds(WARM_UP_SECONDS + (long) mSeconds);
        List<String> entries = testbed.entries("");
        try (OpenLoopLoad load = OpenLoopLoad.create()) {
            Map<String, Double> shares = Map.of("high", 0.1, "normal", 0.5, "low", 0.4);
            Map<String, OpenLoopLoad.Counts> counts = new TreeMap<>();
            long cpu = cpuNanos(testbed);
            shares.forEach(
                    (priority, share) ->
                            counts.put(
                                    priority,
                                    load.start(
                                            OpenLoopLoad.stream(
                                                    entries,
                                                    priority,
                                                    capacity * loadFactor * share,
                                                    TOKENS,
                                                    DEADLINE),
                                            duration)));
            int end = WARM_UP_SECONDS + mSeconds;
            awaitSecond(load, end + 3);
            int onTime = 0;
            int answered = 0;
            for (Map.Entry<String, OpenLoopLoad.Counts> entry : counts.entrySet()) {
                OpenLoopLoad.Counts outcomes = entry.getValue();
                onTime += outcomes.onTime(WARM_UP_SECONDS, end);
                answered += outcomes.mAnswered.get();
                System.out.printf(
                        "load %dx capacity, %-6s first byte p50/p95/p99 %.0f/%.0f/%.0f ms,"
                                + " error response p99 %.0f ms, %s%n",
                        loadFactor,
                        entry.getKey(),
                        outcomes.firstByteMillis(50),
                        outcomes.firstByteMillis(95),
                        outcomes.firstByteMillis(99),
                        outcomes.mErrorResponse.getValueAtPercentile(99) / 1_000.0,
                        outcomes.describe());
            }
            double goodput = onTime / (double) mSeconds / Math.min(capacity, capacity * loadFactor);
            double cpuMillis = (cpuNanos(testbed) - cpu) / 1e6 / Math.max(1, answered);
            System.out.printf(
                    "load %dx capacity, goodput %.3f of capacity, daemon CPU time %.2f ms per"
                            + " response%n",
                    loadFactor, goodput, cpuMillis);
            return goodput >= MIN_GOODPUT;
        }
    }

    private static long cpuNanos(RequestTestbed testbed) {
        long sum = 0;
        Topology topology = testbed.deployment().topology();
        for (List<Vm> vms :
                List.of(topology.entryVms(), topology.endpointVms(RequestTestbed.SERVICE))) {
            for (Vm vm : vms) {
                sum +=
                        ProcessHandle.of(testbed.deployment().process(vm.name()).pid())
                                .flatMap(handle -> handle.info().totalCpuDuration())
                                .orElse(Duration.ZERO)
                                .toNanos();
            }
        }
        return sum;
    }

    private static void awaitSecond(OpenLoopLoad load, int second) {
        Await.until(
                "second " + second, Duration.ofMinutes(10), () -> load.elapsedSeconds() >= second);
    }
}
