package org.sequoiahill.bench.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A day on which engines are added while the load rises, and a version is swapped in under it.
 *
 * @param load requests that come
 * @param engineParameters how fast an engine works
 * @param engines engines at the start
 * @param added engines that serve from {@code addedAt} on
 * @param addedAt when the added engines serve
 * @param publishedAt when a version is named
 * @param stagingTime time from the naming until all engines have the version staged
 * @param maxSwapWait time from the naming after which no engine waits for its turn
 */
record SimulatedDay(
        SimulatedLoad load,
        EngineParameters engineParameters,
        int engines,
        int added,
        Duration addedAt,
        Duration publishedAt,
        Duration stagingTime,
        Duration maxSwapWait) {
    /** Entries, engines and times of the users' calm day. */
    private static final int ENTRIES = 6;

    private static final int ENGINES = 6;

    /** Entries and engines of the users' fleet of 119 VMs. */
    private static final int MANY_ENTRIES = 49;

    private static final int MANY_ENGINES = 63;
    private static final Duration LENGTH = Duration.ofSeconds(34);
    private static final Duration ADDED_AT = Duration.ofMillis(9_500);
    private static final Duration PUBLISHED_AT = Duration.ofSeconds(18);
    private static final Duration STAGING_TIME = Duration.ofMillis(3_100);

    /** Part 0.86 of a bound of 8 s, as agents have it. */
    private static final Duration MAX_SWAP_WAIT = Duration.ofMillis(6_900);

    /** Time after the last request in which answers end. */
    private static final Duration DRAIN_TIME = Duration.ofSeconds(8);

    /** A day with a load of a rate, six engines, and more of them from second 9.5 on. */
    static SimulatedDay withSwap(double perSecond, int added) {
        return new SimulatedDay(
                SimulatedLoad.rising(perSecond, LENGTH, ENTRIES),
                EngineParameters.DENSE,
                ENGINES,
                added,
                ADDED_AT,
                PUBLISHED_AT,
                STAGING_TIME,
                MAX_SWAP_WAIT);
    }

    /** A day of a fleet with many entries before many narrow engines, as above. */
    static SimulatedDay ofManyEntries(double perSecond, int added) {
        return new SimulatedDay(
                SimulatedLoad.risingForSlowEngines(perSecond, LENGTH, MANY_ENTRIES),
                EngineParameters.NARROW,
                MANY_ENGINES,
                added,
                ADDED_AT,
                PUBLISHED_AT,
                STAGING_TIME,
                MAX_SWAP_WAIT);
    }

    /** Starts the scheduler of a day. */
    @FunctionalInterface
    interface SchedulerFactory {
        Scheduler start(VirtualTime time, SimulatedFleet fleet);
    }

    /** Returns how long the day lasts. */
    Duration length() {
        return load.length().plus(DRAIN_TIME);
    }

    /** Plays the day; returns what each caller got. */
    List<RequestOutcome> run(long seed, SchedulerFactory schedulers) {
        VirtualTime time = new VirtualTime();
        SimulatedFleet fleet = new SimulatedFleet(time, engineParameters, load.entries());
        fleet.add(engines);
        time.runUntil(SimulatedFleet.PROPAGATION_DELAY);
        Scheduler scheduler = schedulers.start(time, fleet);
        time.runAt(addedAt, () -> fleet.add(added));
        time.runAt(publishedAt, () -> fleet.publishVersion(stagingTime, maxSwapWait));
        List<RequestOutcome> outcomes = new ArrayList<>();
        for (SimulatedRequest request : load.requests(seed)) {
            RequestOutcome outcome = new RequestOutcome(request);
            outcomes.add(outcome);
            time.runAt(outcome.request().arrivedAt(), () -> scheduler.submit(outcome));
        }
        time.runUntil(length());
        return outcomes;
    }
}
