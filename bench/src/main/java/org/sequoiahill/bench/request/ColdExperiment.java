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

/**
 * Applies a load of 70 % of the warm capacity to engines that are still cold, and later turns one
 * cold again without announcing it.
 */
@Parameters(commandDescription = "engines that start cold and turn cold under load")
public final class ColdExperiment implements Experiment {
    private static final Duration DEADLINE = Duration.ofSeconds(10);
    private static final int ENGINES = 3;
    private static final int SLOTS = 8;
    private static final int TOKENS = 10;
    private static final int TOKEN_MILLIS = 20;
    private static final int COLD_RESPONSES = 12;
    private static final int COLD_FACTOR = 6;

    /** Requests that a cold engine can hold; one more crashes it. */
    private static final int COLD_LIMIT = 5;

    /** Time that an engine is down after a crash. */
    private static final int DOWN_MILLIS = 2_000;

    /** Offered load as a fraction of the warm capacity. */
    private static final double LOAD = 0.7;

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
                                                        SLOTS)))),
                        1);
        BatchEngine.Parameters parameters =
                new BatchEngine.Parameters(
                        SLOTS, TOKEN_MILLIS, COLD_RESPONSES, COLD_FACTOR, COLD_LIMIT, DOWN_MILLIS);
        double perSecond = LOAD * ENGINES * SLOTS / (TOKENS * TOKEN_MILLIS / 1_000.0);
        try (RequestTestbed testbed = RequestTestbed.start(topology, parameters);
                OpenLoopLoad load = OpenLoopLoad.create()) {
            OpenLoopLoad.Counts counts =
                    load.start(
                            OpenLoopLoad.stream(
                                    testbed.entries(""), "high", perSecond, TOKENS, DEADLINE),
                            Duration.ofSeconds(2L * mSeconds));
            Await.until(
                    "the end of the first half",
                    DEADLINE.multipliedBy(9),
                    () -> load.elapsedSeconds() >= mSeconds);
            int crashesInFirstHalf = crashes(testbed);
            testbed.engines().values().iterator().next().turnCold();
            Await.until(
                    "the end of the second half",
                    DEADLINE.multipliedBy(9),
                    () -> load.elapsedSeconds() >= 2 * mSeconds + 2);
            System.out.printf("offered requests per second                     %.0f%n", perSecond);
            System.out.printf(
                    "engine crashes, 1st half                        %d%n", crashesInFirstHalf);
            System.out.printf(
                    "engine crashes, 2nd half                        %d%n",
                    crashes(testbed) - crashesInFirstHalf);
            System.out.printf(
                    "on-time responses per second, 2nd half          %.1f%n",
                    counts.onTime(mSeconds, 2 * mSeconds) / (double) mSeconds);
            System.out.printf(
                    "fewest on-time responses in a second, 2nd half  %d%n",
                    counts.fewestOnTimePerSecond(mSeconds, 2 * mSeconds));
            System.out.printf(
                    "first byte p50/p95/p99                          %.0f/%.0f/%.0f ms%n",
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
