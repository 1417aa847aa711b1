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

/** Takes a data centre out under load and brings it back. */
@Parameters(commandDescription = "a data centre out and in under load")
public final class DrainExperiment implements Experiment {
    /** Target: time from the order to the last new request there. */
    private static final double MAX_LAST_REQUEST_MILLIS = 3_000;

    private static final Duration DEADLINE = Duration.ofSeconds(10);
    private static final int OUT = 1;

    @Parameter(names = "--seconds", description = "time of each phase: before, out, back")
    private int mSeconds = 8;

    @Parameter(names = "--load", description = "share of what all data centres bear")
    private double mLoad = 0.5;

    @Parameter(names = "--prefix", description = "first two octets of the addresses")
    private String mPrefix = "127.23";

    @Override
    public boolean run() throws Exception {
        List<Endpoints> endpoints = List.of(new Endpoints(Scene.SERVICE, Kind.NONE, 2, 8));
        Topology topology =
                new Topology(
                        mPrefix,
                        List.of(
                                new DataCentre("ne-a", 1, endpoints),
                                new DataCentre("ma-a", 1, endpoints),
                                new DataCentre("gl-a", 1, endpoints)),
                        1);
        BatchEngine.Shape shape = new BatchEngine.Shape(8, 20, 0, 1, 1_000, 2_000);
        double capacity = 6 * 8 / (10 * 0.020);
        try (Scene scene = Scene.start(topology, shape);
                OpenLoad load = OpenLoad.create()) {
            return measure(scene, load, capacity * mLoad);
        }
    }

    private boolean measure(Scene scene, OpenLoad load, double perSecond) {
        OpenLoad.Counts counts =
                load.start(
                        OpenLoad.stream(scene.entries(""), "high", perSecond, 10, DEADLINE),
                        Duration.ofSeconds(3L * mSeconds));
        Vm through = scene.deployment().topology().entryVms().get(0);
        awaitSecond(load, mSeconds);
        long ordered = System.nanoTime();
        scene.deployment().setDataCentre(through, "ma-a", "out");
        awaitSecond(load, 2 * mSeconds);
        double lastMillis = lastArrival(scene, ordered) / 1e6;
        int back = load.second();
        double before = counts.wholeMillis(95);
        scene.deployment().setDataCentre(through, "ma-a", "in");
        awaitSecond(load, 3 * mSeconds + 2);
        int falls = scene.engines().values().stream().mapToInt(BatchEngine::falls).sum();
        int worst = counts.worstSecond(mSeconds, 3 * mSeconds - 1);
        System.out.printf("offered a second                     %.0f%n", perSecond);
        System.out.printf("order to the last new request there  %.0f ms%n", lastMillis);
        System.out.printf("worst second of goodput after order  %d%n", worst);
        System.out.printf(
                "first byte p50/p95/p99               %.0f/%.0f/%.0f ms%n",
                counts.firstByteMillis(50), counts.firstByteMillis(95), counts.firstByteMillis(99));
        System.out.printf("whole answer p95 until the return    %.0f ms%n", before);
        System.out.printf(
                "back after                           %d s, engines fallen %d%n", back, falls);
        System.out.println(counts.describe());
        boolean isClean = counts.mLost.get() + counts.mUnknown.get() == 0;
        return isClean && lastMillis < MAX_LAST_REQUEST_MILLIS;
    }

    /** Returns nanoseconds from the order to the last request at an endpoint that is out. */
    private static long lastArrival(Scene scene, long ordered) {
        long last = 0;
        for (Map.Entry<Vm, BatchEngine> entry : scene.engines().entrySet()) {
            String dataCentre = scene.deployment().topology().dataCentres().get(OUT).name();
            if (entry.getKey().dataCentre().equals(dataCentre)) {
                last = Math.max(last, entry.getValue().lastArrivalNanos() - ordered);
            }
        }
        return last;
    }

    private static void awaitSecond(OpenLoad load, int second) {
        Await.until("second " + second, Duration.ofMinutes(10), () -> load.second() >= second);
    }
}
