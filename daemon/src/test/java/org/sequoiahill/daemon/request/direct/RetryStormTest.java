package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays storms of failures over whole fleets of entries, and checks the bound in every window. */
final class RetryStormTest {
    private static final int CALM_SECONDS = 40;
    private static final int SECONDS = 120;
    private static final int SERIES_SECONDS = 200;
    private static final long SEED = 1;
    private static final double RATIO = 0.2;
    private static final double SLACK = 100;

    /** What happens to the entries of a fleet around the start of a storm. */
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
        "CUT_IN_HALVES, 7, 20",
        "CUT_IN_HALVES, 46, 300",
        "CUT_IN_THREE, 7, 20",
        "CUT_IN_THREE, 46, 300",
        "CUT_IN_THREE, 350, 1000",
        "CUT_AND_RESTART_OF_THE_MAJORITY, 7, 20",
        "CUT_AND_RESTART_OF_THE_MAJORITY, 46, 300",
        "CUT_AND_RESTART_OF_THE_MINORITY, 7, 20",
        "CUT_AND_RESTART_OF_THE_MINORITY, 46, 300",
        "LOSE_A_THIRD, 7, 20",
        "LOSE_A_THIRD, 46, 300",
        "LOSE_TWO_THIRDS, 7, 300",
        "LOSE_TWO_THIRDS, 46, 300",
        "LOSE_TWO_THIRDS, 350, 1000",
        "CUT_OFF_TWO_THIRDS, 7, 20",
        "CUT_OFF_TWO_THIRDS, 46, 300",
        "CUT_AND_RESTART_OF_THE_MAJORITY, 7, 10",
        "CUT_AND_RESTART_OF_THE_MINORITY, 46, 20",
        "ADD_AS_MANY, 7, 10",
        "ADD_AS_MANY, 7, 20",
        "ADD_AS_MANY, 46, 300"
    })
    void storm_whileEntriesRestartLeaveAndAreCutOff_keepsTheBoundOfAllInEveryWindow(
            Fault trouble, int entries, double perSecond) {
        SimulatedEntries played = new SimulatedEntries(TestFleet.SETTINGS, entries, SECONDS, SEED);
        played.run(CALM_SECONDS, perSecond, false);
        inject(played, trouble, entries, perSecond);
        played.run(30, perSecond, true);
        assertThat("repeats over the bound", played.excess(), is(0.0));
        assertThat(played.retriesSince(CALM_SECONDS), greaterThan(0));
    }

    @ParameterizedTest
    @CsvSource({
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
    void storm_withoutSlackWhileLoadMovesToOtherProcesses_keepsTheRatioInEveryWindow(
            Fault trouble, int entries, double perSecond) {
        SimulatedEntries played =
                new SimulatedEntries(
                        TestFleet.settingsWithRetries(RATIO, 0), entries, SECONDS, SEED);
        played.run(CALM_SECONDS, perSecond, false);
        inject(played, trouble, entries, perSecond);
        played.run(30, perSecond, true);
        assertThat("repeats over the bound", played.excess(), is(0.0));
        assertThat(played.retriesSince(CALM_SECONDS), greaterThan(0));
    }

    @ParameterizedTest
    @CsvSource({
        "NONE, 7, 100",
        "RESTART_IN_TURN, 7, 100",
        "RESTART_IN_TURN, 46, 300",
        "RESTART_ALL, 7, 100",
        "RESTART_ALL, 46, 300",
        "RESTART_ALL_REPEATEDLY, 7, 100",
        "RESTART_ALL_REPEATEDLY, 46, 300",
        "CUT_IN_HALVES, 7, 100",
        "CUT_IN_HALVES, 46, 300",
        "CUT_IN_THREE, 7, 100",
        "CUT_IN_THREE, 46, 300",
        "CUT_AND_RESTART_OF_THE_MAJORITY, 7, 100",
        "CUT_AND_RESTART_OF_THE_MAJORITY, 46, 300",
        "CUT_AND_RESTART_OF_THE_MINORITY, 7, 100",
        "CUT_AND_RESTART_OF_THE_MINORITY, 46, 300",
        "LOSE_A_THIRD, 7, 100",
        "LOSE_TWO_THIRDS, 7, 100",
        "LOSE_TWO_THIRDS, 46, 300",
        "CUT_OFF_TWO_THIRDS, 7, 100",
        "CUT_OFF_TWO_THIRDS, 46, 300",
        "ADD_AS_MANY, 7, 100",
        "ADD_AS_MANY, 46, 300"
    })
    void storm_withoutRatioWhileEntriesDisagreeOnTheirNumber_keepsTheSlackInEveryWindow(
            Fault trouble, int entries, double perSecond) {
        SimulatedEntries played =
                new SimulatedEntries(
                        TestFleet.settingsWithRetries(0, SLACK), entries, SECONDS, SEED);
        played.run(CALM_SECONDS, perSecond, false);
        inject(played, trouble, entries, perSecond);
        played.run(30, perSecond, true);
        assertThat("repeats over the bound", played.excess(), is(0.0));
        assertThat(played.retriesSince(CALM_SECONDS), greaterThan(0));
    }

    @ParameterizedTest
    @CsvSource({"7, 30, 0", "7, 0, 30", "7, 200, 30", "46, 300, 20"})
    void storm_loadFallsOrRisesAtOnce_keepsTheRatioInEveryWindow(
            int entries, double before, double after) {
        SimulatedEntries played =
                new SimulatedEntries(
                        TestFleet.settingsWithRetries(RATIO, 0), entries, SECONDS, SEED);
        played.run(CALM_SECONDS, before, false);
        played.run(0.5, before, true);
        played.run(30, after, true);
        assertThat("repeats over the bound", played.excess(), is(0.0));
    }

    @ParameterizedTest
    @CsvSource({"7, 20", "7, 300", "20, 60"})
    void storm_troublesInRandomSeries_keepsTheBoundOfAllInEveryWindow(
            int entries, double perSecond) {
        long first = Long.getLong("repeats.seed", 1);
        long seeds = Long.getLong("repeats.seeds", 10);
        for (long seed = first; seed < first + seeds; seed++) {
            Random random = new Random(seed);
            SimulatedEntries played =
                    new SimulatedEntries(TestFleet.SETTINGS, entries, SERIES_SECONDS, seed);
            played.run(CALM_SECONDS, perSecond, false);
            for (double at = CALM_SECONDS; at < SERIES_SECONDS - 5; ) {
                injectAtRandom(played, random);
                double seconds = 0.5 + random.nextInt(random.nextBoolean() ? 4 : 24);
                seconds = Math.min(seconds, SERIES_SECONDS - at);
                played.run(seconds, perSecond, random.nextInt(4) > 0);
                at += seconds;
            }
            assertThat("repeats over the bound, seed " + seed, played.excess(), is(0.0));
        }
    }

    private static void injectAtRandom(SimulatedEntries played, Random random) {
        int every = 1 + random.nextInt(3);
        int turn = random.nextInt(every);
        int store = random.nextInt(3);
        switch (random.nextInt(9)) {
            case 0 -> played.restart(entry -> entry % every == turn);
            case 1 -> played.restart(entry -> true);
            case 2 -> played.suspend(entry -> entry % every == turn, random.nextInt(1, 25));
            case 3 -> played.restartStores(each -> each == store || every == 3);
            case 4 ->
                    played.moveToPartition(
                            entry -> entry % every == turn, each -> each == store, 1);
            case 5 ->
                    played.moveToPartition(
                            entry -> entry % every == turn, each -> each != store, 1);
            case 6 -> played.moveToPartition(entry -> entry % every == turn, each -> false, 2);
            case 7 -> played.add(1 + random.nextInt(5));
            default -> played.moveToPartition(entry -> true, each -> true, 0);
        }
    }

    private static void inject(
            SimulatedEntries played, Fault trouble, int entries, double perSecond) {
        switch (trouble) {
            case NONE -> {}
            case RESTART_IN_TURN -> {
                for (int i = 0; i < 7; i++) {
                    int turn = i;
                    played.run(1, perSecond, true);
                    played.restart(entry -> entry % 7 == turn);
                }
            }
            case RESTART_ALL -> {
                played.run(1, perSecond, true);
                played.restart(entry -> true);
            }
            case RESTART_ALL_REPEATEDLY -> {
                for (int i = 0; i < 4; i++) {
                    played.run(2.5, perSecond, true);
                    played.restart(entry -> true);
                }
            }
            case PARTITION_IN_TWO -> {
                played.moveToPartition(entry -> entry % 2 == 1, store -> store == 2, 1);
                played.run(15, perSecond, true);
                played.moveToPartition(entry -> true, store -> true, 0);
            }
            case PARTITION_IN_THREE -> {
                played.moveToPartition(entry -> entry % 3 == 1, store -> store == 1, 1);
                played.moveToPartition(entry -> entry % 3 == 2, store -> store == 2, 2);
                played.run(25, perSecond, true);
                played.moveToPartition(entry -> true, store -> true, 0);
            }
            case PARTITION_AND_RESTART_OF_THE_MAJORITY -> {
                played.moveToPartition(entry -> entry % 2 == 1, store -> store == 2, 1);
                played.run(1, perSecond, false);
                played.restart(entry -> entry % 2 == 0);
                played.run(30, perSecond, true);
                played.moveToPartition(entry -> true, store -> true, 0);
            }
            case PARTITION_AND_RESTART_OF_THE_MINORITY -> {
                played.moveToPartition(entry -> entry % 2 == 1, store -> store == 2, 1);
                played.run(1, perSecond, true);
                played.restart(entry -> entry % 2 == 1);
                played.run(25, perSecond, true);
                played.moveToPartition(entry -> true, store -> true, 0);
            }
            case LOSE_A_THIRD -> {
                played.run(1, perSecond, true);
                played.remove(entry -> entry % 3 == 0);
            }
            case LOSE_TWO_THIRDS -> {
                played.run(1, perSecond, true);
                played.remove(entry -> entry % 3 != 0);
            }
            case ISOLATE_TWO_THIRDS -> {
                played.moveToPartition(entry -> entry % 3 != 0, store -> false, 1);
                played.run(25, perSecond, true);
                played.moveToPartition(entry -> true, store -> true, 0);
            }
            case DOUBLE_THE_ENTRIES -> {
                played.add(entries);
                played.run(20, perSecond, true);
            }
            default -> throw new IllegalStateException("unknown trouble " + trouble);
        }
    }
}
