package org.sequoiahill.bench.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates loads with the entries' own dispatchers and checks the outcomes for callers. */
final class EntrySchedulerTest {
    /** Requests per second that ten engines can sustain while all of them serve. */
    private static final double RATE = 98;

    /**
     * Requests per second that leave the 63 engines of the large fleet a quarter of spare capacity.
     */
    private static final double MANY_RATE = 330;

    /** Fraction of responses on time that the target size requires. */
    private static final double TARGET_SHARE = 0.95;

    /** Engines that are added to the initial six. */
    private static final int ADDED = 4;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void run_loadWithinCapacity_responsesOnTime(long seed) {
        Tally tally = simulate(ADDED, seed, outcome -> isBetween(outcome, 12, 18));
        assertThat(tally.onTimeShare(), greaterThanOrEqualTo(TARGET_SHARE));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void run_enginesReturnEmptyAfterLoadingVersion_earnsNineTenthsOfFullKnowledge(long seed) {
        Predicate<RequestOutcome> isDuringLoads = outcome -> isBetween(outcome, 21, 28);
        Tally entries = simulate(ADDED, seed, isDuringLoads);
        Tally fullKnowledge = simulateWithFullKnowledge(ADDED, seed, isDuringLoads);
        assertThat(entries.earnedShare(), greaterThanOrEqualTo(0.9 * fullKnowledge.earnedShare()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void run_overload_servesEightTenthsOfFullKnowledgeOnTime(long seed) {
        Predicate<RequestOutcome> isOverload = outcome -> isBetween(outcome, 11, 18);
        Tally entries = simulate(0, seed, isOverload);
        Tally fullKnowledge = simulateWithFullKnowledge(0, seed, isOverload);
        assertThat(entries.onTimeShare(), greaterThanOrEqualTo(0.8 * fullKnowledge.onTimeShare()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void run_manyEntriesAndEngines_earnNineTenthsOfFullKnowledge(long seed) {
        SimulatedDay day = SimulatedDay.ofManyEntries(MANY_RATE, 0);
        Predicate<RequestOutcome> isFullRate = outcome -> isBetween(outcome, 10, 18);
        int entries = day.load().entries();
        Tally simulated =
                tally(
                        day.run(
                                seed,
                                (time, fleet) -> EntryScheduler.start(time, fleet, entries, seed)),
                        isFullRate);
        int slots = day.engineParameters().slots();
        Tally fullKnowledge =
                tally(
                        day.run(
                                seed,
                                (time, fleet) -> FullKnowledgeScheduler.start(time, fleet, slots)),
                        isFullRate);
        assertThat(
                simulated.earnedShare(), greaterThanOrEqualTo(0.9 * fullKnowledge.earnedShare()));
    }

    private static Tally simulate(int added, long seed, Predicate<RequestOutcome> filter) {
        SimulatedDay day = SimulatedDay.ofFewEntries(RATE, added);
        int entries = day.load().entries();
        return tally(
                day.run(seed, (time, fleet) -> EntryScheduler.start(time, fleet, entries, seed)),
                filter);
    }

    private static Tally simulateWithFullKnowledge(
            int added, long seed, Predicate<RequestOutcome> filter) {
        int slots = EngineParameters.DENSE.slots();
        return tally(
                SimulatedDay.ofFewEntries(RATE, added)
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
