package org.sequoiahill.bench.request;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.sequoiahill.bench.Experiment;
import org.sequoiahill.bench.processes.Await;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;
import org.sequoiahill.bench.processes.Topology.Vm;

/** Takes a data centre out of service under load and puts it back into service. */
@Parameters(commandDescription = "take a data centre out of service and back under load")
public final class DrainExperiment implements Experiment {
    /** Target for the time from the command to the last new request in the data centre. */
    private static final double MAX_LAST_REQUEST_MILLIS = 3_000;

    private static final Duration DEADLINE = Duration.ofSeconds(10);

    /** Index of the data centre that is taken out of service, {@code ma-a}. */
    private static final int DRAINED = 1;

    @Parameter(
            names = "--seconds",
            description = "length of each phase in seconds: before, out of service, back")
    private int mSeconds = 8;

    @Parameter(names = "--load", description = "offered load as a fraction of the total capacity")
    private double mLoad = 0.5;

    @Parameter(names = "--prefix", description = "first two octets of the addresses")
    private String mPrefix = "127.23";

    @Override
    public boolean run() throws Exception {
        List<Endpoints> endpoints = List.of(new Endpoints(RequestTestbed.SERVICE, Kind.NONE, 2, 8));
        Topology topology =
                new Topology(
                        mPrefix,
                        List.of(
                                new DataCentre("ne-a", 1, endpoints),
                                new DataCentre("ma-a", 1, endpoints),
                                new DataCentre("gl-a", 1, endpoints)),
                        1);
        // Each of the six engines processes 8 requests at once, and is never cold. A request has 10
        // tokens of 20 ms.
        BatchEngine.Parameters parameters = new BatchEngine.Parameters(8, 20, 0, 1, 1_000, 2_000);
        double capacity = 6 * 8 / (10 * 0.020);
        try (RequestTestbed testbed = RequestTestbed.start(topology, parameters);
                OpenLoopLoad load = OpenLoopLoad.create()) {
            return measure(testbed, load, capacity * mLoad);
        }
    }

    private boolean measure(RequestTestbed testbed, OpenLoopLoad load, double perSecond) {
        OpenLoopLoad.Counts counts =
                load.start(
                        OpenLoopLoad.stream(testbed.entries(""), "high", perSecond, 10, DEADLINE),
                        Duration.ofSeconds(3L * mSeconds));
        Vm entry = testbed.deployment().topology().entryVms().get(0);
        awaitSecond(load, mSeconds);
        long commandedAt = System.nanoTime();
        testbed.deployment().setDataCentre(entry, "ma-a", "out");
        awaitSecond(load, 2 * mSeconds);
        double lastMillis = lastArrival(testbed, commandedAt) / 1e6;
        int backAt = load.elapsedSeconds();
        double responseP95 = counts.responseMillis(95);
        testbed.deployment().setDataCentre(entry, "ma-a", "in");
        awaitSecond(load, 3 * mSeconds + 2);
        int crashes = testbed.engines().values().stream().mapToInt(BatchEngine::crashes).sum();
        int fewestOnTime = counts.fewestOnTimePerSecond(mSeconds, 3 * mSeconds - 1);
        System.out.printf("offered requests per second               %.0f%n", perSecond);
        System.out.printf("command to last request in data centre    %.0f ms%n", lastMillis);
        System.out.printf("fewest on-time responses in a second      %d%n", fewestOnTime);
        System.out.printf(
                "first byte p50/p95/p99                    %.0f/%.0f/%.0f ms%n",
                counts.firstByteMillis(50), counts.firstByteMillis(95), counts.firstByteMillis(99));
        System.out.printf("response p95 until back in service        %.0f ms%n", responseP95);
        System.out.printf(
                "back in service at second                 %d of the load, engine crashes %d%n",
                backAt, crashes);
        System.out.println(counts.describe());
        boolean isNoneLostOrUnknown = counts.mLost.get() + counts.mUnknown.get() == 0;
        return isNoneLostOrUnknown && lastMillis < MAX_LAST_REQUEST_MILLIS;
    }

    /**
     * Returns nanoseconds from the command to the last request in the drained data centre; 0 if
     * none arrived after the command.
     */
    private static long lastArrival(RequestTestbed testbed, long commandedAt) {
        long last = 0;
        for (Map.Entry<Vm, BatchEngine> engine : testbed.engines().entrySet()) {
            String dataCentre = testbed.deployment().topology().dataCentres().get(DRAINED).name();
            if (engine.getKey().dataCentre().equals(dataCentre)) {
                last = Math.max(last, engine.getValue().lastArrivalNanos() - commandedAt);
            }
        }
        return last;
    }

    private static void awaitSecond(OpenLoopLoad load, int second) {
        Await.until(
                "second " + second, Duration.ofMinutes(10), () -> load.elapsedSeconds() >= second);
    }
}
