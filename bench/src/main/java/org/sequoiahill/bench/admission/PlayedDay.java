package org.sequoiahill.bench.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A day on which engines are added while the load rises, and a version is swapped in under it.
 *
 * @param load requests that come
 * @param shape how fast an engine works
 * @param engines engines at the start
 * @param added engines that serve from {@code addedAt} on
 * @param addedAt when the added engines serve
 * @param versionAt when a version is named
 * @param untilStaged time from the naming until all engines have the version staged
 * @param lastCall time from the naming after which no engine waits for its turn
 */
record PlayedDay(
        PlayedLoad load,
        EngineShape shape,
        int engines,
        int added,
        Duration addedAt,
        Duration versionAt,
        Duration untilStaged,
        Duration lastCall) {
    /** Entries, engines and times of the users' calm day. */
    private static final int ENTRIES = 6;

    private static final int ENGINES = 6;

    /** Entries and engines of the users' fleet of 119 VMs. */
    private static final int MANY_ENTRIES = 49;

    private static final int MANY_ENGINES = 63;
    private static final Duration LENGTH = Duration.ofSeconds(34);
    private static final Duration ADDED_AT = Duration.ofMillis(9_500);
    private static final Duration VERSION_AT = Duration.ofSeconds(18);
    private static final Duration UNTIL_STAGED = Duration.ofMillis(3_100);

    /** Part 0.86 of a bound of 8 s, as agents have it. */
    private static final Duration LAST_CALL = Duration.ofMillis(6_900);

    /** Time after the last request in which answers end. */
    private static final Duration AFTER = Duration.ofSeconds(8);

    /** A day with a load of a rate, six engines, and more of them from second 9.5 on. */
    static PlayedDay withSwap(double perSecond, int added) {
        return new PlayedDay(
                PlayedLoad.rising(perSecond, LENGTH, ENTRIES),
                EngineShape.DENSE,
                ENGINES,
                added,
                ADDED_AT,
                VERSION_AT,
                UNTIL_STAGED,
                LAST_CALL);
    }

    /** A day of a fleet with many entries before many narrow engines, as above. */
    static PlayedDay ofManyEntries(double perSecond, int added) {
        return new PlayedDay(
                PlayedLoad.risingSlower(perSecond, LENGTH, MANY_ENTRIES),
                EngineShape.NARROW,
                MANY_ENGINES,
                added,
                ADDED_AT,
                VERSION_AT,
                UNTIL_STAGED,
                LAST_CALL);
    }

    /** Starts the scheduler of a day. */
    @FunctionalInterface
    interface SchedulerStart {
        Scheduler start(VirtualTime time, PlayedFleet fleet);
    }

    /** Returns how long the day lasts. */
    Duration length() {
        return load.length().plus(AFTER);
    }

    /** Plays the day; returns what each caller got. */
    List<Outcome> play(long seed, SchedulerStart schedulers) {
        VirtualTime time = new VirtualTime();
        PlayedFleet fleet = new PlayedFleet(time, shape, load.entries());
        fleet.add(engines);
        time.runUntil(PlayedFleet.NEWS);
        Scheduler scheduler = schedulers.start(time, fleet);
        time.runAt(addedAt, () -> fleet.add(added));
        time.runAt(versionAt, () -> fleet.nameVersion(untilStaged, lastCall));
        List<Outcome> outcomes = new ArrayList<>();
        for (PlayedRequest request : load.requests(seed)) {
            Outcome outcome = new Outcome(request);
            outcomes.add(outcome);
            time.runAt(outcome.request().arrivedAt(), () -> scheduler.arrive(outcome));
        }
        time.runUntil(length());
        return outcomes;
    }
}
