package org.sequoiahill.bench.push;

import com.beust.jcommander.Parameters;
import java.time.Duration;
import java.util.List;
import org.sequoiahill.bench.Experiment;

/** Simulates pushes to fleets of several sizes and prints their times beside the lower bounds. */
@Parameters(commandDescription = "how long a version takes to reach all engines, and the bound")
public final class PushExperiment implements Experiment {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Fleets, by their numbers of regions, entries and engines. */
    private static final List<PushShape> SHAPES =
            List.of(
                    PushShape.of(3, 8, 10),
                    PushShape.of(4, 44, 36),
                    PushShape.of(5, 49, 63),
                    PushShape.of(5, 49, 290));

    @Override
    public boolean run() {
        System.out.println(
                "times in seconds, ratio of last to bound, origin in copies of the version\n"
                        + "engines entries fault       pieces: bound first  last  ratio"
                        + "  served: bound first  last  origin resets failures");
        for (PushShape shape : SHAPES) {
            for (PushFault fault : PushFault.values()) {
                print(shape, fault);
            }
        }
        return true;
    }

    private static void print(PushShape shape, PushFault fault) {
        SimulatedPush.Result result = SimulatedPush.run(shape, fault, 1);
        PushLowerBound bound = new PushLowerBound(shape);
        double fetch = seconds(bound.fetch());
        double last = last(result.complete(), shape);
        System.out.printf(
                "%7d %7d %-11s %13.2f %5.2f %5.2f %6.2f %14.2f %5.2f %5.2f %7.2f %6d %8d%n",
                shape.engines(),
                shape.entries(),
                fault,
                fetch,
                first(result.complete()),
                last,
                last / fetch,
                seconds(bound.serve(SimulatedPush.MEAN_UNAVAILABLE)),
                first(result.served()),
                last(result.served(), shape),
                result.originCopies(),
                result.resets(),
                result.failures());
    }

    private static double first(List<Duration> times) {
        return times.isEmpty() ? Double.POSITIVE_INFINITY : seconds(times.get(0));
    }

    private static double last(List<Duration> times, PushShape shape) {
        return times.size() < shape.engines()
                ? Double.POSITIVE_INFINITY
                : seconds(times.get(times.size() - 1));
    }

    private static double seconds(Duration time) {
        return time.toMillis() / MILLIS_PER_SECOND;
    }
}
