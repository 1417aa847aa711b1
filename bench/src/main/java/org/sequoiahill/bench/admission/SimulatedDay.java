package org.sequoiahill.bench.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A simulated day on which engines are added and a new version is published.
 *
 * @param load the requests that callers send
 * @param engineParameters speed and limits of each engine
 * @param engines number of engines at the start
 * @param added number of engines that start serving at {@code addedAt}
 * @param addedAt time at which the added engines start serving
 * @param publishedAt time at which a version is published
 * @param stagingTime time from publication until all engines have staged the version
 * @param maxSwapWait time from publication after which engines swap without waiting for others
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
    /**
     * Numbers of entries and engines of the users' calm day; the times below are also of that day.
     */
    private static final int ENTRIES = 6;

    private static final int ENGINES = 6;

    /** Numbers of entries and engines of the users' fleet of 119 VMs. */
    private static final int MANY_ENTRIES = 49;

    private static final int MANY_ENGINES = 63;
    private static final Duration LENGTH = Duration.ofSeconds(34);
    private static final Duration ADDED_AT = Duration.ofMillis(9_500);
    private static final Duration PUBLISHED_AT = Duration.ofSeconds(18);
    private static final Duration STAGING_TIME = Duration.ofMillis(3_100);

    /** About 0.86, the fraction that agents use, of the limit of 8 s for a rollout. */
    private static final Duration MAX_SWAP_WAIT = Duration.ofMillis(6_900);

    /** Time after the end of the load for running responses to complete. */
    private static final Duration DRAIN_TIME = Duration.ofSeconds(8);

    /**
     * Returns a day with six entries, and with six engines at the start and {@code added} more from
     * second 9.5 on.
     */
    static SimulatedDay ofFewEntries(double perSecond, int added) {
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

    /**
     * Returns a day with the same times for a fleet of 49 entries and 63 narrow engines, and a load
     * for slower engines.
     */
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

    /** Creates and starts the scheduler of a day. */
    @FunctionalInterface
    interface SchedulerFactory {
        Scheduler start(VirtualTime time, SimulatedFleet fleet);
    }

    /** Returns the length of the load plus the time for the last responses to complete. */
    Duration length() {
        return load.length().plus(DRAIN_TIME);
    }

    /** Simulates the day; returns the outcome of each request. */
    List<RequestOutcome> run(long seed, SchedulerFactory factory) {
        VirtualTime time = new VirtualTime();
        SimulatedFleet fleet = new SimulatedFleet(time, engineParameters, load.entries());
        fleet.add(engines);
        time.runUntil(SimulatedFleet.PROPAGATION_DELAY);
        Scheduler scheduler = factory.start(time, fleet);
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
