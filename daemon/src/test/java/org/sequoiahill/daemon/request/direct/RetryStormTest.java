package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates storms of failures over whole fleets of entries, and checks the retry limit in every
 * window.
 */
final class RetryStormTest {
    private static final int CALM_SECONDS = 40;
    private static final int SECONDS = 120;
    private static final int SERIES_SECONDS = 200;
    private static final long SEED = 1;
    private static final double RATIO = 0.2;
    private static final double SLACK = 100;

    /** Fault that is injected at the entries of a fleet around the start of a storm. */
    private enum Fault {
        NONE,
        RESTART_IN_TURN,
        RESTART_ALL,
        RESTART_ALL_REPEATEDLY,
        PARTITION_IN_TWO,
        PARTITION_IN_THREE,
        PARTITION_AND_RESTART_OF_THE_MAJORITY,
        PARTITION_AND_RESTART_OF_THE_MINORITY,
        LOSE_A_THIRD,
        LOSE_TWO_THIRDS,
        ISOLATE_TWO_THIRDS,
        DOUBLE_THE_ENTRIES
    }

    @ParameterizedTest
    @CsvSource({
        // fault, entries, requests per second at all of them together
        "NONE, 7, 2",
        "NONE, 7, 300",
        "RESTART_IN_TURN, 7, 20",
        "RESTART_IN_TURN, 7, 300",
        "RESTART_IN_TURN, 46, 300",
        "RESTART_IN_TURN, 350, 1000",
        "RESTART_ALL, 7, 20",
        "RESTART_ALL, 7, 300",
        "RESTART_ALL, 46, 300",
        "RESTART_ALL, 350, 1000",
        "RESTART_ALL_REPEATEDLY, 7, 20",
        "RESTART_ALL_REPEATEDLY, 7, 300",
        "RESTART_ALL_REPEATEDLY, 46, 300",
        "RESTART_ALL_REPEATEDLY, 350, 1000",
        "PARTITION_IN_TWO, 7, 20",
        "PARTITION_IN_TWO, 46, 300",
        "PARTITION_IN_THREE, 7, 20",
        "PARTITION_IN_THREE, 46, 300",
        "PARTITION_IN_THREE, 350, 1000",
        "PARTITION_AND_RESTART_OF_THE_MAJORITY, 7, 20",
        "PARTITION_AND_RESTART_OF_THE_MAJORITY, 46, 300",
        "PARTITION_AND_RESTART_OF_THE_MINORITY, 7, 20",
        "PARTITION_AND_RESTART_OF_THE_MINORITY, 46, 300",
        "LOSE_A_THIRD, 7, 20",
        "LOSE_A_THIRD, 46, 300",
        "LOSE_TWO_THIRDS, 7, 300",
        "LOSE_TWO_THIRDS, 46, 300",
        "LOSE_TWO_THIRDS, 350, 1000",
        "ISOLATE_TWO_THIRDS, 7, 20",
        "ISOLATE_TWO_THIRDS, 46, 300",
        "PARTITION_AND_RESTART_OF_THE_MAJORITY, 7, 10",
        "PARTITION_AND_RESTART_OF_THE_MINORITY, 46, 20",
        "DOUBLE_THE_ENTRIES, 7, 10",
        "DOUBLE_THE_ENTRIES, 7, 20",
        "DOUBLE_THE_ENTRIES, 46, 300"
    })
    void storm_entriesRestartLeaveOrArePartitioned_keepsTheSharedLimitInEveryWindow(
            Fault fault, int entries, double perSecond) {
        SimulatedEntries simulation =
                new SimulatedEntries(TestFleet.SETTINGS, entries, SECONDS, SEED);
        simulation.run(CALM_SECONDS, perSecond, false);
        inject(simulation, fault, entries, perSecond);
        simulation.run(30, perSecond, true);
        assertThat("retries over the limit", simulation.excess(), is(0.0));
        assertThat(simulation.retriesSince(CALM_SECONDS), greaterThan(0));
    }

    @ParameterizedTest
    @CsvSource({
        // fault, entries, requests per second at all of them together
        "NONE, 7, 300",
        "RESTART_IN_TURN, 7, 300",
        "RESTART_IN_TURN, 46, 300",
        "RESTART_ALL, 7, 300",
        "RESTART_ALL, 46, 300",
        "RESTART_ALL_REPEATEDLY, 7, 300",
        "RESTART_ALL_REPEATEDLY, 46, 300",
        "LOSE_TWO_THIRDS, 7, 300",
        "LOSE_TWO_THIRDS, 46, 300"
    })
    void storm_noSlackAndLoadMovesToOtherProcesses_keepsTheRatioInEveryWindow(
            Fault fault, int entries, double perSecond) {
        SimulatedEntries simulation =
                new SimulatedEntries(
                        TestFleet.settingsWithRetries(RATIO, 0), entries, SECONDS, SEED);
        simulation.run(CALM_SECONDS, perSecond, false);
        inject(simulation, fault, entries, perSecond);
        simulation.run(30, perSecond, true);
        assertThat("retries over the limit", simulation.excess(), is(0.0));
        assertThat(simulation.retriesSince(CALM_SECONDS), greaterThan(0));
    }

    @ParameterizedTest
    @CsvSource({
        // fault, entries, requests per second at all of them together
        "NONE, 7, 100",
        "RESTART_IN_TURN, 7, 100",
        "RESTART_IN_TURN, 46, 300",
        "RESTART_ALL, 7, 100",
        "RESTART_ALL, 46, 300",
        "RESTART_ALL_REPEATEDLY, 7, 100",
        "RESTART_ALL_REPEATEDLY, 46, 300",
        "PARTITION_IN_TWO, 7, 100",
        "PARTITION_IN_TWO, 46, 300",
        "PARTITION_IN_THREE, 7, 100",
        "PARTITION_IN_THREE, 46, 300",
        "PARTITION_AND_RESTART_OF_THE_MAJORITY, 7, 100",
        "PARTITION_AND_RESTART_OF_THE_MAJORITY, 46, 300",
        "PARTITION_AND_RESTART_OF_THE_MINORITY, 7, 100",
        "PARTITION_AND_RESTART_OF_THE_MINORITY, 46, 300",
        "LOSE_A_THIRD, 7, 100",
        "LOSE_TWO_THIRDS, 7, 100",
        "LOSE_TWO_THIRDS, 46, 300",
        "ISOLATE_TWO_THIRDS, 7, 100",
        "ISOLATE_TWO_THIRDS, 46, 300",
        "DOUBLE_THE_ENTRIES, 7, 100",
        "DOUBLE_THE_ENTRIES, 46, 300"
    })
    void storm_noRatioAndEntriesDisagreeOnTheirNumber_keepsTheSlackInEveryWindow(
            Fault fault, int entries, double perSecond) {
        SimulatedEntries simulation =
                new SimulatedEntries(
                        TestFleet.settingsWithRetries(0, SLACK), entries, SECONDS, SEED);
        simulation.run(CALM_SECONDS, perSecond, false);
        inject(simulation, fault, entries, perSecond);
        simulation.run(30, perSecond, true);
        assertThat("retries over the limit", simulation.excess(), is(0.0));
        assertThat(simulation.retriesSince(CALM_SECONDS), greaterThan(0));
    }

    @ParameterizedTest
    @CsvSource({
        // entries, requests per second before and after the change
        "7, 30, 0",
        "7, 0, 30",
        "7, 200, 30",
        "46, 300, 20"
    })
    void storm_loadFallsOrRisesSuddenly_keepsTheRatioInEveryWindow(
            int entries, double before, double after) {
        SimulatedEntries simulation =
                new SimulatedEntries(
                        TestFleet.settingsWithRetries(RATIO, 0), entries, SECONDS, SEED);
        simulation.run(CALM_SECONDS, before, false);
        simulation.run(0.5, before, true);
        simulation.run(30, after, true);
        assertThat("retries over the limit", simulation.excess(), is(0.0));
    }

    @ParameterizedTest
    @CsvSource({
        // entries, requests per second at all of them together
        "7, 20",
        "7, 300",
        "20, 60"
    })
    void storm_randomSeriesOfFaults_keepsTheSharedLimitInEveryWindow(
            int entries, double perSecond) {
        long first = Long.getLong("repeats.seed", 1);
        long seeds = Long.getLong("repeats.seeds", 10);
        for (long seed = first; seed < first + seeds; seed++) {
            Random random = new Random(seed);
            SimulatedEntries simulation =
                    new SimulatedEntries(TestFleet.SETTINGS, entries, SERIES_SECONDS, seed);
            simulation.run(CALM_SECONDS, perSecond, false);
            for (double at = CALM_SECONDS; at < SERIES_SECONDS - 5; ) {
                injectAtRandom(simulation, random);
                double seconds = 0.5 + random.nextInt(random.nextBoolean() ? 4 : 24);
                seconds = Math.min(seconds, SERIES_SECONDS - at);
                simulation.run(seconds, perSecond, random.nextInt(4) > 0);
                at += seconds;
            }
            assertThat("retries over the limit, seed " + seed, simulation.excess(), is(0.0));
        }
    }

    private static void injectAtRandom(SimulatedEntries simulation, Random random) {
        int every = 1 + random.nextInt(3);
        int turn = random.nextInt(every);
        int store = random.nextInt(3);
        switch (random.nextInt(9)) {
            case 0 -> simulation.restart(entry -> entry % every == turn);
            case 1 -> simulation.restart(entry -> true);
            case 2 -> simulation.suspend(entry -> entry % every == turn, random.nextInt(1, 25));
            case 3 -> simulation.restartStores(each -> each == store || every == 3);
            case 4 ->
                    simulation.moveToPartition(
                            entry -> entry % every == turn, each -> each == store, 1);
            case 5 ->
                    simulation.moveToPartition(
                            entry -> entry % every == turn, each -> each != store, 1);
            case 6 -> simulation.moveToPartition(entry -> entry % every == turn, each -> false, 2);
            case 7 -> simulation.add(1 + random.nextInt(5));
            default -> simulation.moveToPartition(entry -> true, each -> true, 0);
        }
    }

    private static void inject(
            SimulatedEntries simulation, Fault fault, int entries, double perSecond) {
        switch (fault) {
            case NONE -> {}
            case RESTART_IN_TURN -> {
                for (int i = 0; i < 7; i++) {
                    int turn = i;
                    simulation.run(1, perSecond, true);
                    simulation.restart(entry -> entry % 7 == turn);
                }
            }
            case RESTART_ALL -> {
                simulation.run(1, perSecond, true);
                simulation.restart(entry -> true);
            }
            case RESTART_ALL_REPEATEDLY -> {
                for (int i = 0; i < 4; i++) {
                    simulation.run(2.5, perSecond, true);
                    simulation.restart(entry -> true);
                }
            }
            case PARTITION_IN_TWO -> {
                simulation.moveToPartition(entry -> entry % 2 == 1, store -> store == 2, 1);
                simulation.run(15, perSecond, true);
                simulation.moveToPartition(entry -> true, store -> true, 0);
            }
            case PARTITION_IN_THREE -> {
                simulation.moveToPartition(entry -> entry % 3 == 1, store -> store == 1, 1);
                simulation.moveToPartition(entry -> entry % 3 == 2, store -> store == 2, 2);
                simulation.run(25, perSecond, true);
                simulation.moveToPartition(entry -> true, store -> true, 0);
            }
            case PARTITION_AND_RESTART_OF_THE_MAJORITY -> {
                simulation.moveToPartition(entry -> entry % 2 == 1, store -> store == 2, 1);
                simulation.run(1, perSecond, false);
                simulation.restart(entry -> entry % 2 == 0);
                simulation.run(30, perSecond, true);
                simulation.moveToPartition(entry -> true, store -> true, 0);
            }
            case PARTITION_AND_RESTART_OF_THE_MINORITY -> {
                simulation.moveToPartition(entry -> entry % 2 == 1, store -> store == 2, 1);
                simulation.run(1, perSecond, true);
                simulation.restart(entry -> entry % 2 == 1);
                simulation.run(25, perSecond, true);
                simulation.moveToPartition(entry -> true, store -> true, 0);
            }
            case LOSE_A_THIRD -> {
                simulation.run(1, perSecond, true);
                simulation.remove(entry -> entry % 3 == 0);
            }
            case LOSE_TWO_THIRDS -> {
                simulation.run(1, perSecond, true);
                simulation.remove(entry -> entry % 3 != 0);
            }
            case ISOLATE_TWO_THIRDS -> {
                simulation.moveToPartition(entry -> entry % 3 != 0, store -> false, 1);
                simulation.run(25, perSecond, true);
                simulation.moveToPartition(entry -> true, store -> true, 0);
            }
            case DOUBLE_THE_ENTRIES -> {
                simulation.add(entries);
                simulation.run(20, perSecond, true);
            }
            default -> throw new IllegalStateException("unknown fault " + fault);
        }
    }
}
