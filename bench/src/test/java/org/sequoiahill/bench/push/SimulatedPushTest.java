package org.sequoiahill.bench.push;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates pushes in virtual time and compares them with the lower bound. */
final class SimulatedPushTest {
    @ParameterizedTest
    @CsvSource({
        // All but the first fleet have more daemons than the origin accepts connections.
        "3, 8, 10, NONE",
        "4, 44, 36, NONE",
        "4, 44, 36, SQUEEZED",
        "4, 44, 36, RESTARTED",
        "5, 49, 63, NONE",
        "5, 49, 63, SQUEEZED",
        "5, 49, 63, RESTARTED",
        "5, 49, 290, NONE"
    })
    void run_moreDaemonsThanOriginConnections_sendsEachPieceOnceAndResetsNone(
            int regions, int entries, int engines, PushFault fault) {
        PushShape shape = PushShape.of(regions, entries, engines);
        SimulatedPush.Result result = SimulatedPush.run(shape, fault, 1);
        assertThat(result.resets(), is(0));
        assertThat(result.originCopies(), lessThanOrEqualTo(1.05));
        assertThat(result.served().size(), is(engines));
    }

    @ParameterizedTest
    @CsvSource({
        // regions, entries, engines, maximum multiple of the lower bound
        "3, 8, 10, 1.3",
        "4, 44, 36, 1.3",
        "5, 49, 63, 1.4",
        "5, 49, 290, 2.5"
    })
    void run_allAgentsOfARegionFetch_doNotQueueAtOneEntry(
            int regions, int entries, int engines, double max) {
        PushShape shape = PushShape.of(regions, entries, engines);
        List<Duration> complete = SimulatedPush.run(shape, PushFault.NONE, 1).complete();
        double bound = new PushLowerBound(shape).fetch().toMillis();
        assertThat(complete.size(), is(engines));
        assertThat(complete.get(engines - 1).toMillis() / bound, lessThanOrEqualTo(max));
    }

    @ParameterizedTest
    @CsvSource({"5, 49, 63, SUSPENDED", "5, 49, 63, SQUEEZED", "5, 49, 63, RESTARTED"})
    void run_fault_endsWithAllEnginesOnTheVersion(
            int regions, int entries, int engines, PushFault fault) {
        PushShape shape = PushShape.of(regions, entries, engines);
        assertThat(SimulatedPush.run(shape, fault, 1).served().size(), is(engines));
    }
}
