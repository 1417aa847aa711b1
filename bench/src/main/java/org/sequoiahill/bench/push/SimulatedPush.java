package org.sequoiahill.bench.push;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;
import org.sequoiahill.bench.admission.VirtualTime;
import org.sequoiahill.daemon.version.staging.PieceOrder;
import org.sequoiahill.daemon.version.staging.PiecePlan;
import org.sequoiahill.daemon.version.staging.SwapSchedule;

/** Simulates the push of a version that is published at time zero to all engines of a fleet. */
final class SimulatedPush {
    static final double MANIFEST_BITS = 27_000;

    /** Number of groups in which the engines load one after the other. */
    static final int GROUPS = 3;

    /**
     * Time for which an engine is unavailable: propagation, the mean time to drain its requests,
     * and the load.
     */
    static final Duration MEAN_UNAVAILABLE = Duration.ofMillis(1_920);

    /** Time for which an idle connection to the origin stays open. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);

    private static final Duration TIME_LIMIT = Duration.ofMinutes(5);
    private static final Duration LOAD_CHECK_INTERVAL = Duration.ofMillis(60);

    /** Time until the other agents know that an engine serves the version. */
    private static final Duration PROPAGATION_DELAY = Duration.ofMillis(100);

    /** Time until the entries know that an engine is about to load, and time of the load. */
    private static final Duration PROPAGATION_AND_LOAD = Duration.ofMillis(420);

    /** Limits of the time until an entry or agent learns that the version was published. */
    private static final int MIN_PROPAGATION_MILLIS = 40;

    private static final int MAX_PROPAGATION_MILLIS = 150;

    /** Limits of the time in which an engine's running requests end. */
    private static final int MIN_DRAIN_MILLIS = 500;

    private static final int MAX_DRAIN_MILLIS = 2_500;

    /**
     * Fraction of the maximum version age after which an agent loads without waiting for others.
     */
    private static final double MAX_LOAD_WAIT_SHARE = 0.86;

    private static final long OLD_VERSION = 1;
    private static final long NEW_VERSION = 2;

    private final VirtualTime mTime = new VirtualTime();
    private final PushShape mShape;
    private final SimulatedNetwork mNetwork;
    private final SimulatedOrigin mOrigin;
    private final Random mRandom;
    private final Map<String, SimulatedEntry> mEntries = new TreeMap<>();
    private final Map<String, SimulatedAgent> mAgents = new TreeMap<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private final PiecePlan mPlan;
    private final List<Duration> mCompletedAt = new ArrayList<>();
    private final List<Duration> mServedAt = new ArrayList<>();

    private SimulatedPush(PushShape shape, long seed) {
        mShape = shape;
        mRandom = new Random(seed);
        mNetwork = new SimulatedNetwork(mTime, shape.interRegionRate());
        mOrigin = new SimulatedOrigin(mTime, mNetwork, shape, IDLE_TIMEOUT);
        Map<String, String> regionOf = new HashMap<>();
        for (int i = 0; i < shape.entries(); i++) {
            SimulatedVm vm = vm("entry", i, shape.entryRate());
            mEntries.put(vm.name(), new SimulatedEntry(this, vm));
            regionOf.put(vm.name(), regionName(vm.region()));
        }
        mPlan = PiecePlan.of(regionOf, shape.originConnections());
        for (int i = 0; i < shape.engines(); i++) {
            SimulatedVm vm = vm("agent", i, shape.agentRate());
            mAgents.put(vm.name(), new SimulatedAgent(this, vm));
            mVersions.put(vm.name(), OLD_VERSION);
        }
    }

    /**
     * Times at which agents were complete and engines served, in order, and the cost.
     *
     * @param complete times at which agents had all pieces
     * @param served times from which engines served the version
     * @param originCopies number of copies of the version that the origin began to send
     * @param resets number of connections that the origin reset
     * @param failures failed attempts of agents to fetch a piece
     */
    record Result(
            List<Duration> complete,
            List<Duration> served,
            double originCopies,
            int resets,
            int failures) {}

    /** Simulates five minutes, from the publication of a version on. */
    static Result run(PushShape shape, PushFault fault, long seed) {
        SimulatedPush push = new SimulatedPush(shape, seed);
        push.start();
        fault.inject(push);
        push.mTime.runUntil(TIME_LIMIT);
        return new Result(
                push.mCompletedAt,
                push.mServedAt,
                push.mOrigin.bitsSent() / shape.versionBits(),
                push.mOrigin.resets(),
                push.mAgents.values().stream().mapToInt(SimulatedAgent::failures).sum());
    }

    VirtualTime time() {
        return mTime;
    }

    PushShape shape() {
        return mShape;
    }

    SimulatedNetwork network() {
        return mNetwork;
    }

    SimulatedOrigin origin() {
        return mOrigin;
    }

    PiecePlan plan() {
        return mPlan;
    }

    SimulatedEntry entry(String name) {
        return Objects.requireNonNull(mEntries.get(name));
    }

    List<SimulatedEntry> entries() {
        return List.copyOf(mEntries.values());
    }

    List<SimulatedAgent> agents() {
        return List.copyOf(mAgents.values());
    }

    SimulatedEntry servingEntry(int region, int piece, int failures) {
        return entry(mPlan.servingEntry(regionName(region), piece, failures).orElseThrow());
    }

    /** Returns the order in which an agent requests pieces. */
    List<Integer> order(SimulatedAgent agent) {
        int region = agent.vm().region();
        List<String> sameRegion =
                mAgents.values().stream()
                        .map(SimulatedAgent::vm)
                        .filter(vm -> vm.region() == region)
                        .map(SimulatedVm::name)
                        .toList();
        int entries = mPlan.servingEntryCount(regionName(region));
        return PieceOrder.of(agent.vm().name(), sameRegion, entries).sequence(mShape.pieces());
    }

    /** Records that an agent has all pieces. */
    void onComplete(SimulatedAgent agent) {
        mCompletedAt.add(mTime.now());
        awaitLoad(agent);
    }

    private void start() {
        mEntries.values().forEach(entry -> deliver(entry.vm(), entry::prefetch));
        mAgents.values().forEach(agent -> deliver(agent.vm(), agent::start));
    }

    private void deliver(SimulatedVm vm, Runnable task) {
        int millis = mRandom.nextInt(MIN_PROPAGATION_MILLIS, MAX_PROPAGATION_MILLIS);
        mTime.runAfter(Duration.ofMillis(millis), () -> vm.whenRunning(task));
    }

    private void awaitLoad(SimulatedAgent agent) {
        String name = agent.vm().name();
        Duration maxLoadWait =
                Duration.ofMillis((long) (mShape.maxVersionAge().toMillis() * MAX_LOAD_WAIT_SHARE));
        if (!SwapSchedule.mayLoad(name, mVersions, NEW_VERSION, mTime.now(), maxLoadWait)) {
            mTime.runAfter(
                    LOAD_CHECK_INTERVAL, () -> agent.vm().whenRunning(() -> awaitLoad(agent)));
            return;
        }
        int drainMillis = mRandom.nextInt(MIN_DRAIN_MILLIS, MAX_DRAIN_MILLIS);
        mTime.runAfter(
                PROPAGATION_AND_LOAD.plusMillis(drainMillis),
                () -> {
                    mServedAt.add(mTime.now());
                    mTime.runAfter(PROPAGATION_DELAY, () -> mVersions.put(name, NEW_VERSION));
                });
    }

    private SimulatedVm vm(String role, int number, double bitsPerSecond) {
        int region = number % mShape.regions();
        String name = role + "-" + region + "-" + number;
        return new SimulatedVm(mTime, name, region, bitsPerSecond);
    }

    static String regionName(int region) {
        return "region-" + region;
    }
}
