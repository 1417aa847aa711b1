package org.sequoiahill.bench.request;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import java.util.List;
import org.sequoiahill.bench.Experiment;
import org.sequoiahill.bench.processes.Await;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;

/** Starts cold engines under load at 70 % of capacity, and makes one cold again without notice. */
@Parameters(commandDescription = "engines that start cold and turn cold under load")
public final class ColdExperiment implements Experiment {
    private static final Duration DEADLINE = Duration.ofSeconds(10);
    private static final int ENGINES = 3;

    @Parameter(names = "--seconds", description = "length of each half in seconds")
    private int mSeconds = 10;

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
                                        1,
                                        List.of(
                                                new Endpoints(
                                                        RequestTestbed.SERVICE,
                                                        Kind.NONE,
                                                        ENGINES,
                                                        8)))),
                        1);
        BatchEngine.Parameters parameters = new BatchEngine.Parameters(8, 20, 12, 6, 5, 2_000);
        double perSecond = 0.7 * ENGINES * 8 / (10 * 0.020);
        try (RequestTestbed testbed = RequestTestbed.start(topology, parameters);
                OpenLoopLoad load = OpenLoopLoad.create()) {
            OpenLoopLoad.Counts counts =
                    load.start(
                            OpenLoopLoad.stream(
                                    testbed.entries(""), "high", perSecond, 10, DEADLINE),
                            Duration.ofSeconds(2L * mSeconds));
            Await.until(
                    "the end of the first half",
                    DEADLINE.multipliedBy(9),
                    () -> load.elapsedSeconds() >= mSeconds);
            int crashesAtStart = crashes(testbed);
            testbed.engines().values().iterator().next().turnCold();
            Await.until(
                    "the end of the second half",
                    DEADLINE.multipliedBy(9),
                    () -> load.elapsedSeconds() >= 2 * mSeconds + 2);
            System.out.printf("offered per second                    %.0f%n", perSecond);
            System.out.printf("engine crashes at start               %d%n", crashesAtStart);
            System.out.printf(
                    "engine crashes after turning cold     %d%n",
                    crashes(testbed) - crashesAtStart);
            System.out.printf(
                    "goodput per second, 2nd half          %.1f%n",
                    counts.onTime(mSeconds, 2 * mSeconds) / (double) mSeconds);
            System.out.printf(
                    "fewest on time in a second, 2nd half  %d%n",
                    counts.fewestOnTimePerSecond(mSeconds, 2 * mSeconds));
            System.out.printf(
                    "first byte p50/p95/p99                %.0f/%.0f/%.0f ms%n",
                    counts.firstByteMillis(50),
                    counts.firstByteMillis(95),
                    counts.firstByteMillis(99));
            System.out.println(counts.describe());
            return crashes(testbed) == 0;
        }
    }

    private static int crashes(RequestTestbed testbed) {
        return testbed.engines().values().stream().mapToInt(BatchEngine::crashes).sum();
    }
}
