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
import org.sequoiahill.daemon.version.staging.SwapTurns;

/** A version that is named at time zero and taken by all engines of a fleet. */
final class PlayedPush {
    static final double MANIFEST_BITS = 27_000;

    /** Parts of the engines that change over one after the other. */
    static final int PARTS = 3;

    /** Time for which an engine is away: notice, the mean rest of its requests, and the load. */
    static final Duration MEAN_AWAY = Duration.ofMillis(1_920);

    /** Time for which a call leaves its connection to the origin open. */
    private static final Duration KEPT_IDLE = Duration.ofSeconds(10);

    private static final Duration LENGTH = Duration.ofMinutes(5);
    private static final Duration TURN_CHECK = Duration.ofMillis(60);
    private static final Duration NEWS = Duration.ofMillis(100);
    private static final Duration NOTICE_AND_LOAD = Duration.ofMillis(420);
    private static final int LEAST_NEWS_MILLIS = 40;
    private static final int MOST_NEWS_MILLIS = 150;
    private static final int LEAST_REST_MILLIS = 500;
    private static final int MOST_REST_MILLIS = 2_500;
    private static final double LAST_CALL_PART = 0.86;
    private static final long OLD = 1;
    private static final long NEW = 2;

    private final VirtualTime mTime = new VirtualTime();
    private final PushShape mShape;
    private final PlayedNetwork mNetwork;
    private final PlayedOrigin mOrigin;
    private final Random mRandom;
    private final Map<String, PlayedEntry> mEntries = new TreeMap<>();
    private final Map<String, PlayedAgent> mAgents = new TreeMap<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private final PiecePlan mPlan;
    private final List<Duration> mWhole = new ArrayList<>();
    private final List<Duration> mServed = new ArrayList<>();

    private PlayedPush(PushShape shape, long seed) {
        mShape = shape;
        mRandom = new Random(seed);
        mNetwork = new PlayedNetwork(mTime, shape.between());
        mOrigin = new PlayedOrigin(mTime, mNetwork, shape, KEPT_IDLE);
        Map<String, String> regionOf = new HashMap<>();
        for (int i = 0; i < shape.entries(); i++) {
            PlayedVm vm = vm("entry", i, shape.entry());
            mEntries.put(vm.name(), new PlayedEntry(this, vm));
            regionOf.put(vm.name(), regionName(vm.region()));
        }
        mPlan = PiecePlan.over(regionOf, shape.originConnections());
        for (int i = 0; i < shape.engines(); i++) {
            PlayedVm vm = vm("agent", i, shape.agent());
            mAgents.put(vm.name(), new PlayedAgent(this, vm));
            mVersions.put(vm.name(), OLD);
        }
    }

    /**
     * When agents had all pieces and engines served, in order, and what that cost.
     *
     * @param whole times at which agents had all pieces
     * @param served times from which engines served the version
     * @param originCopies copies of the version that the origin sent
     * @param resets connections that the origin reset
     * @param failures pieces that did not come to an agent
     */
    record Result(
            List<Duration> whole,
            List<Duration> served,
            double originCopies,
            int resets,
            int failures) {}

    /** Plays one push to its end, or for five minutes. */
    static Result play(PushShape shape, PushTrouble trouble, long seed) {
        PlayedPush push = new PlayedPush(shape, seed);
        push.start();
        trouble.begin(push);
        push.mTime.runUntil(LENGTH);
        return new Result(
                push.mWhole,
                push.mServed,
                push.mOrigin.bitsSent() / shape.versionBits(),
                push.mOrigin.resets(),
                push.mAgents.values().stream().mapToInt(PlayedAgent::failures).sum());
    }

    VirtualTime time() {
        return mTime;
    }

    PushShape shape() {
        return mShape;
    }

    PlayedNetwork network() {
        return mNetwork;
    }

    PlayedOrigin origin() {
        return mOrigin;
    }

    PiecePlan plan() {
        return mPlan;
    }

    PlayedEntry entry(String name) {
        return Objects.requireNonNull(mEntries.get(name));
    }

    List<PlayedEntry> entries() {
        return List.copyOf(mEntries.values());
    }

    List<PlayedAgent> agents() {
        return List.copyOf(mAgents.values());
    }

    PlayedEntry supplier(int region, int piece, int failures) {
        return entry(mPlan.supplier(regionName(region), piece, failures).orElseThrow());
    }

    /** Returns the order in which an agent asks for pieces. */
    List<Integer> order(PlayedAgent agent) {
        int region = agent.vm().region();
        List<String> near =
                mAgents.values().stream()
                        .map(PlayedAgent::vm)
                        .filter(vm -> vm.region() == region)
                        .map(PlayedVm::name)
                        .toList();
        int entries = mPlan.suppliers(regionName(region));
        return PieceOrder.of(agent.vm().name(), near, entries).of(mShape.pieces());
    }

    /** Hears that an agent has all pieces. */
    void whole(PlayedAgent agent) {
        mWhole.add(mTime.now());
        awaitTurn(agent);
    }

    private void start() {
        mEntries.values().forEach(entry -> tell(entry.vm(), entry::drawAhead));
        mAgents.values().forEach(agent -> tell(agent.vm(), agent::start));
    }

    private void tell(PlayedVm vm, Runnable news) {
        int millis = mRandom.nextInt(LEAST_NEWS_MILLIS, MOST_NEWS_MILLIS);
        mTime.runAfter(Duration.ofMillis(millis), () -> vm.whenAwake(news));
    }

    private void awaitTurn(PlayedAgent agent) {
        String name = agent.vm().name();
        Duration lastCall = Duration.ofMillis((long) (mShape.bound().toMillis() * LAST_CALL_PART));
        if (!SwapTurns.isTurn(name, mVersions, NEW, mTime.now(), lastCall)) {
            mTime.runAfter(TURN_CHECK, () -> agent.vm().whenAwake(() -> awaitTurn(agent)));
            return;
        }
        int rest = mRandom.nextInt(LEAST_REST_MILLIS, MOST_REST_MILLIS);
        mTime.runAfter(
                NOTICE_AND_LOAD.plusMillis(rest),
                () -> {
                    mServed.add(mTime.now());
                    mTime.runAfter(NEWS, () -> mVersions.put(name, NEW));
                });
    }

    private PlayedVm vm(String role, int number, double bitsPerSecond) {
        int region = number % mShape.regions();
        String name = role + "-" + region + "-" + number;
        return new PlayedVm(mTime, name, region, bitsPerSecond);
    }

    static String regionName(int region) {
        return "region-" + region;
    }
}
