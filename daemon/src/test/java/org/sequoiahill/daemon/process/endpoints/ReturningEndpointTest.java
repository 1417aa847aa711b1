package org.sequoiahill.daemon.process.endpoints;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiahill.daemon.process.time.ManualClock;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.EndpointState;
import org.sequoiahill.protocol.gen.WatchReply;

/**
 * Plays an endpoint that deregisters and starts again under its id, before three stores and two
 * entries that read the feeds of all of them, in virtual time. It reports to the first store.
 */
final class ReturningEndpointTest {
    private static final int STORES = 3;
    private static final Duration LEASE = Duration.ofSeconds(6);
    private static final Instant ORIGIN = Instant.parse("2026-01-01T00:00:00Z");
    private static final int STEP_MILLIS = 100;
    private static final int HEARTBEAT_STEPS = 12;
    private static final int DRAIN_STEPS = 25;
    private static final int LEASE_STEPS = 65;
    private static final int WATCHED_STEPS = 150;

    /** When a heartbeat of the start that has deregistered arrives. */
    private enum Late {
        NEVER,
        AT_ONCE,
        AFTER_THE_LEASE,
        AFTER_THE_RETURN
    }

    /** Which stores lose what they know after the deregistration. */
    private enum Restarted {
        NONE,
        DEREGISTERED_AT,
        REPORTED_TO,
        ALL
    }

    private record Case(
            boolean isStartNamed,
            int deregisteredAt,
            boolean isRelayLost,
            Late late,
            Restarted restarted) {
        /** Only a store that is cut off, or restarts, was told; it knows no start. */
        boolean isForgotten() {
            boolean isStartKnown = isStartNamed || deregisteredAt == 0 || !isRelayLost;
            boolean isHeld =
                    late != Late.AFTER_THE_LEASE
                            && restarted != Restarted.ALL
                            && restarted != Restarted.DEREGISTERED_AT;
            return !isStartKnown && !isHeld;
        }
    }

    private static final class Entry {
        private final List<FeedMirror> mMirrors =
                Stream.generate(FeedMirror::new).limit(STORES).toList();
        private final EndpointMerge mMerge = new EndpointMerge();
    }

    private final ManualClock mClock = new ManualClock();
    private final List<EndpointRegistry> mStores = new ArrayList<>();
    private final List<Entry> mEntries = new ArrayList<>();
    private Duration mClockError = Duration.ZERO;
    private long mFeeds;

    private static Stream<Case> cases() {
        return Stream.of(true, false)
                .flatMap(
                        isStartNamed ->
                                IntStream.range(0, 4)
                                        .boxed()
                                        .flatMap(i -> cases(isStartNamed, i % 2, i / 2 == 1)))
                .filter(each -> !each.isForgotten());
    }

    private static Stream<Case> cases(boolean isStartNamed, int store, boolean isRelayLost) {
        return Stream.of(Late.values())
                .flatMap(
                        late ->
                                Stream.of(Restarted.values())
                                        .map(
                                                restarted ->
                                                        new Case(
                                                                isStartNamed,
                                                                store,
                                                                isRelayLost,
                                                                late,
                                                                restarted)));
    }

    /** Guards against an endpoint that is never used again, or used after its deregistration. */
    @ParameterizedTest
    @MethodSource("cases")
    void endpoint_startsAgainUnderItsId_isUsedFromThenOnAndNotBefore(Case each) {
        for (int lateStore = 0; lateStore < STORES; lateStore++) {
            for (int returnStore = 0; returnStore < STORES; returnStore++) {
                play(each, lateStore, returnStore);
            }
        }
    }

    private void play(Case each, int lateStore, int returnStore) {
        begin();
        long first = wallMillis();
        for (int sequence = 1; sequence <= 3; sequence++) {
            mStores.get(0).report(Reports.ready("e", first, sequence));
            run(HEARTBEAT_STEPS);
            assertReady("before the deregistration", true);
        }
        deregister(each.deregisteredAt(), each.isStartNamed() ? first : 0, each.isRelayLost());
        mEntries.add(new Entry());
        run(1);
        assertReady("after the deregistration", false);
        restart(each);
        int late = 4;
        for (int i = 0; i < DRAIN_STEPS + (each.late() == Late.AFTER_THE_LEASE ? 90 : 0); i++) {
            if (isDue(each.late(), i)) {
                mStores.get(lateStore).report(Reports.ready("e", first, late++));
            }
            run(1);
            assertReady("late at " + lateStore + ", step " + i, false);
        }
        long second = wallMillis();
        for (int i = 0; i < WATCHED_STEPS; i++) {
            if (i % HEARTBEAT_STEPS == 0) {
                mStores.get(returnStore)
                        .report(Reports.ready("e", second, 1 + i / HEARTBEAT_STEPS));
            }
            if (each.late() == Late.AFTER_THE_RETURN && i == 5) {
                mStores.get(lateStore).report(Reports.ready("e", first, late));
            }
            run(1);
            assertReady(
                    "late at " + lateStore + ", returned at " + returnStore + ", step " + i, true);
        }
    }

    private static boolean isDue(Late late, int step) {
        return (late == Late.AT_ONCE && step == 1)
                || (late == Late.AFTER_THE_LEASE && step == LEASE_STEPS);
    }

    @ParameterizedTest
    @CsvSource({
        // error of the clock of the store in seconds, steps until the endpoint is used again
        "0, 1",
        "-5, 1",
        "2, 1",
        "3600, 40"
    })
    void endpoint_noStartNamedAtAStoreWhoseClockIsWrong_isUsedAgainAfterOneLeaseAtMost(
            int errorSeconds, int steps) {
        begin();
        long first = wallMillis();
        mStores.get(0).report(Reports.ready("e", first, 1));
        run(10);
        mClockError = Duration.ofSeconds(errorSeconds);
        mStores.get(1).report(mStores.get(1).goneReport("e", 0));
        mClockError = Duration.ZERO;
        run(DRAIN_STEPS);
        long second = wallMillis();
        for (int i = 0; i < steps; i++) {
            mStores.get(1).report(Reports.ready("e", second, 1 + i));
            mStores.get(2).report(Reports.ready("e", second, 1 + i));
            run(1);
        }
        assertReady("the later start", true);
    }

    @ParameterizedTest
    @CsvSource({
        // store of the deregistration, sequence of the last report before it
        "0, 1",
        "0, 60",
        "1, 1",
        "1, 60"
    })
    void endpoint_neverNamesAStart_isUsedAgainAfterOneLease(int store, int sequence) {
        begin();
        mStores.get(0).report(Reports.ready("e", 0, sequence));
        run(1);
        assertReady("before the deregistration", true);
        deregister(store, 0, false);
        for (int i = 1; i <= LEASE_STEPS + 2 * HEARTBEAT_STEPS; i++) {
            if (i % HEARTBEAT_STEPS == 0) {
                mStores.get(0).report(Reports.ready("e", 0, i / HEARTBEAT_STEPS));
            }
            run(1);
            if (i < LEASE_STEPS - HEARTBEAT_STEPS) {
                assertReady("step " + i, false);
            }
        }
        assertReady("after the lease", true);
    }

    @Test
    void endpoint_deregistersAtAStoreThatKnowsAnEarlierStart_isNotUsed() {
        begin();
        long first = wallMillis();
        mStores.get(1).report(Reports.ready("e", first, 9));
        run(1);
        long second = wallMillis();
        mStores.get(0).report(Reports.ready("e", second, 1));
        run(1);
        assertReady("the later start", true);
        deregister(1, second, true);
        run(1);
        assertReady("after its deregistration", false);
    }

    private void begin() {
        mStores.clear();
        mEntries.clear();
        for (int i = 0; i < STORES; i++) {
            mStores.add(newStore());
        }
        mEntries.add(new Entry());
    }

    private EndpointRegistry newStore() {
        InstantSource wallClock = () -> Instant.ofEpochMilli(wallMillis()).plus(mClockError);
        return EndpointRegistry.of(mClock, wallClock, LEASE, Duration.ofSeconds(4), ++mFeeds);
    }

    private long wallMillis() {
        return ORIGIN.plus(mClock.now()).toEpochMilli();
    }

    private void deregister(int store, long startedAt, boolean isRelayLost) {
        EndpointReport report = mStores.get(store).goneReport("e", startedAt);
        mStores.get(store).report(report.deepCopy());
        for (int i = 0; i < STORES && !isRelayLost; i++) {
            if (i != store) {
                mStores.get(i).report(report.deepCopy());
            }
        }
    }

    private void restart(Case each) {
        for (int i = 0; i < STORES; i++) {
            boolean isRestarted =
                    switch (each.restarted()) {
                        case NONE -> false;
                        case DEREGISTERED_AT -> i == each.deregisteredAt();
                        case REPORTED_TO -> i == 0;
                        case ALL -> true;
                    };
            if (isRestarted) {
                mStores.set(i, newStore());
            }
        }
    }

    private void run(int steps) {
        for (int i = 0; i < steps; i++) {
            mClock.advanceMillis(STEP_MILLIS);
            mStores.forEach(EndpointRegistry::expire);
            mEntries.forEach(this::read);
        }
    }

    private void read(Entry entry) {
        for (int i = 0; i < STORES; i++) {
            FeedMirror mirror = entry.mMirrors.get(i);
            WatchReply reply = new WatchReply().setItems(new ArrayList<>());
            mStores.get(i).await(reply, mirror.feed(), mirror.change(), Duration.ZERO, () -> false);
            mirror.apply(reply, mClock.now());
        }
        entry.mMerge.endpoints(entry.mMirrors);
    }

    private void assertReady(String reason, boolean isReady) {
        for (Entry entry : mEntries) {
            boolean isUsed =
                    entry.mMerge.endpoints(entry.mMirrors).stream()
                            .anyMatch(endpoint -> endpoint.state() == EndpointState.READY);
            assertThat(reason, isUsed, is(isReady));
        }
    }
}
