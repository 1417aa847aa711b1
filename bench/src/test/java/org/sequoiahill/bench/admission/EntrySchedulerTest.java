package org.sequoiahill.bench.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays loads through the entries' own dispatchers, and checks what callers get. */
final class EntrySchedulerTest {
    /** Requests a second that ten engines bear while all of them serve. */
    private static final double RATE = 98;

    /** Requests a second that leave the 63 engines of the many entries a quarter to spare. */
    private static final double MANY_RATE = 330;

    /** Part of the answers that begin in time, as the target size asks. */
    private static final double TARGET_PART = 0.95;

    /** Engines that are added to the first six. */
    private static final int ADDED = 4;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void play_enginesBearTheLoad_answersBeginInTime(long seed) {
        Tally tally = play(ADDED, seed, outcome -> isBetween(outcome, 12, 18));
        assertThat(tally.onTimeShare(), greaterThanOrEqualTo(TARGET_PART));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void play_enginesComeBackEmptyFromALoad_earnsNineTenthsOfWhatFullKnowledgeWould(long seed) {
        Predicate<RequestOutcome> isDuringLoads = outcome -> isBetween(outcome, 21, 28);
        Tally entries = play(ADDED, seed, isDuringLoads);
        Tally bound = playWithFullKnowledge(ADDED, seed, isDuringLoads);
        assertThat(entries.earnedShare(), greaterThanOrEqualTo(0.9 * bound.earnedShare()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void play_moreLoadThanEnginesBear_stillServesMostOfWhatTheyBearInTime(long seed) {
        Predicate<RequestOutcome> isOverload = outcome -> isBetween(outcome, 11, 18);
        Tally entries = play(0, seed, isOverload);
        Tally bound = playWithFullKnowledge(0, seed, isOverload);
        assertThat(entries.onTimeShare(), greaterThanOrEqualTo(0.8 * bound.onTimeShare()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void play_manyEntriesBeforeManyEngines_earnNineTenthsOfWhatFullKnowledgeWould(long seed) {
        SimulatedDay day = SimulatedDay.ofManyEntries(MANY_RATE, 0);
        Predicate<RequestOutcome> isFullRate = outcome -> isBetween(outcome, 10, 18);
        int entries = day.load().entries();
        Tally played =
                tally(
                        day.run(
                                seed,
                                (time, fleet) -> EntryScheduler.start(time, fleet, entries, seed)),
                        isFullRate);
        int slots = day.engineParameters().slots();
        Tally bound =
                tally(
                        day.run(
                                seed,
                                (time, fleet) -> FullKnowledgeScheduler.start(time, fleet, slots)),
                        isFullRate);
        assertThat(played.earnedShare(), greaterThanOrEqualTo(0.9 * bound.earnedShare()));
    }

    private static Tally play(int added, long seed, Predicate<RequestOutcome> filter) {
        SimulatedDay day = SimulatedDay.withSwap(RATE, added);
        int entries = day.load().entries();
        return tally(
                day.run(seed, (time, fleet) -> EntryScheduler.start(time, fleet, entries, seed)),
                filter);
    }

    private static Tally playWithFullKnowledge(int added, long seed, Predicate<RequestOutcome> filter) {
        int slots = EngineParameters.DENSE.slots();
        return tally(
                SimulatedDay.withSwap(RATE, added)
                        .run(
                                seed,
                                (time, fleet) -> FullKnowledgeScheduler.start(time, fleet, slots)),
                filter);
    }

    private static Tally tally(List<RequestOutcome> outcomes, Predicate<RequestOutcome> filter) {
        Tally tally = new Tally();
        outcomes.stream().filter(filter).forEach(tally::add);
        return tally;
    }

    private static boolean isBetween(RequestOutcome outcome, int from, int to) {
        Duration at = outcome.request().arrivedAt();
        return at.compareTo(Duration.ofSeconds(from)) >= 0
                && at.compareTo(Duration.ofSeconds(to)) < 0;
    }
}
