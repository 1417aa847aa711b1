package org.sequoiahill.bench.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.TreeMap;

/**
 * A load whose rate grows in steps; each seed gives a fixed sequence of requests.
 *
 * @param perSecond requests per second at the full rate
 * @param rateFactors fraction of the full rate that applies from each time on
 * @param length time from which no more requests arrive
 * @param entries number of entries that receive requests
 * @param kinds kinds of requests
 */
record SimulatedLoad(
        double perSecond,
        NavigableMap<Duration, Double> rateFactors,
        Duration length,
        int entries,
        List<RequestKind> kinds) {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Callers per entry. Each is assigned to a random entry, so that the entries' loads are uneven,
     * as behind a load balancer that assigns callers by hash.
     */
    private static final double CALLERS_PER_ENTRY = 2.7;

    /** Earliest arrival of a request; by then the entries know the engines. */
    private static final Duration START = Duration.ofMillis(500);

    /** Returns a load of three kinds of requests that reaches the full rate after nine seconds. */
    static SimulatedLoad rising(double perSecond, Duration length, int entries) {
        Duration timeout = Duration.ofSeconds(6);
        Duration pause = Duration.ofMillis(300);
        Duration target = Duration.ofMillis(400);
        SizeDistribution events = new SizeDistribution(20.6, 0.8, 51);
        return rising(
                perSecond,
                length,
                entries,
                List.of(
                        new RequestKind(
                                0.40,
                                target,
                                pause,
                                timeout,
                                2.4,
                                0.61,
                                new SizeDistribution(1290, 1, 3880),
                                events),
                        new RequestKind(
                                0.29,
                                target,
                                pause,
                                timeout,
                                2.1,
                                0.52,
                                new SizeDistribution(787, 1, 3330),
                                events),
                        new RequestKind(
                                0.31,
                                Duration.ofMillis(300),
                                pause,
                                timeout,
                                1.4,
                                0.35,
                                new SizeDistribution(607, 0.96, 2640),
                                new SizeDistribution(11.6, 0.9, 51))));
    }

    /**
     * Returns a load for slower engines that rises in the same way, with shorter responses and
     * longer targets for the first event and for pauses.
     */
    static SimulatedLoad risingForSlowEngines(double perSecond, Duration length, int entries) {
        Duration timeout = Duration.ofSeconds(6);
        Duration pause = Duration.ofMillis(400);
        Duration target = Duration.ofMillis(500);
        SizeDistribution events = new SizeDistribution(14.6, 0.8, 36.5);
        return rising(
                perSecond,
                length,
                entries,
                List.of(
                        new RequestKind(
                                0.44,
                                target,
                                pause,
                                timeout,
                                2.2,
                                0.56,
                                new SizeDistribution(1290, 1, 3880),
                                events),
                        new RequestKind(
                                0.30,
                                target,
                                pause,
                                timeout,
                                2.0,
                                0.5,
                                new SizeDistribution(787, 1, 3330),
                                events),
                        new RequestKind(
                                0.26,
                                Duration.ofMillis(400),
                                pause,
                                timeout,
                                1.6,
                                0.4,
                                new SizeDistribution(607, 0.96, 2640),
                                new SizeDistribution(11.6, 0.9, 36.5))));
    }

    private static SimulatedLoad rising(
            double perSecond, Duration length, int entries, List<RequestKind> kinds) {
        NavigableMap<Duration, Double> steps =
                new TreeMap<>(
                        Map.of(
                                Duration.ZERO,
                                0.55,
                                Duration.ofSeconds(6),
                                0.7,
                                Duration.ofMillis(7_500),
                                0.85,
                                Duration.ofSeconds(9),
                                1.0));
        return new SimulatedLoad(perSecond, steps, length, entries, kinds);
    }

    /** Returns the requests for a seed, in order of arrival. */
    List<SimulatedRequest> requests(long seed) {
        Random random = new Random(seed);
        int[] entryOfCaller =
                random.ints((long) (entries * CALLERS_PER_ENTRY), 0, entries).toArray();
        List<SimulatedRequest> requests = new ArrayList<>();
        Duration at = START;
        while (true) {
            double rate = perSecond * rateFactors.floorEntry(at).getValue();
            double gap = -Math.log(1 - random.nextDouble()) / rate;
            at = at.plusNanos((long) (gap * NANOS_PER_SECOND));
            if (at.compareTo(length) >= 0) {
                return requests;
            }
            RequestKind kind = sampleKind(random);
            requests.add(
                    new SimulatedRequest(
                            at,
                            entryOfCaller[random.nextInt(entryOfCaller.length)],
                            kind,
                            kind.promptTokens().sample(random),
                            kind.events().sample(random)));
        }
    }

    private RequestKind sampleKind(Random random) {
        double left = random.nextDouble();
        for (RequestKind kind : kinds) {
            left -= kind.share();
            if (left < 0) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }
}
