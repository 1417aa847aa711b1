package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.DelayedExecutor;
import org.sequoiahill.daemon.process.time.ManualClock;
import org.sequoiahill.protocol.gen.EndpointState;

/** Tests of {@link Dispatcher} and {@link EndpointSelector} with snapshots of a fleet. */
final class DispatcherTest {
    private final ManualClock mClock = new ManualClock();
    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor();
    private FleetSnapshot mSnapshot = FleetSnapshot.EMPTY;
    private final Dispatcher mDispatcher =
            Dispatcher.of(
                    () -> mSnapshot,
                    TestFleet.SETTINGS,
                    mClock,
                    new Random(1),
                    DelayedExecutor.of(mScheduler));

    @AfterEach
    void stop() {
        mScheduler.shutdownNow();
    }

    @Test
    void submit_manyRequests_spreadsThemByLoad() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).endpoint("b", "dc-1", 8).snapshot();
        List<TestPendingRequest> all = submit(12, 1);
        long atA = all.stream().filter(each -> each.isAt("a")).count();
        assertThat(atA, greaterThan(3L));
        assertThat(atA, lessThanOrEqualTo(9L));
        assertThat(all.stream().allMatch(each -> each.mPermit.isPresent()), is(true));
    }

    @ParameterizedTest
    @CsvSource({
        // condition of endpoint b; with old_version, a is the only endpoint, and requests are
        // refused
        "draining",
        "out",
        "swapping",
        "old_version",
        "unreachable"
    })
    void submit_unusableEndpoint_selectsAnother(String condition) {
        TestFleet fleet = new TestFleet().endpoint("a", "dc-1", 8);
        switch (condition) {
            case "draining" ->
                    fleet.endpoint("b", "dc-1", 8, EndpointState.DRAINING, Duration.ZERO);
            case "out" -> fleet.endpoint("b", "dc-2", 8).outOfService("dc-2");
            case "swapping" -> fleet.endpoint("b", "dc-1", 8).swapping();
            default -> fleet.endpoint("b", "dc-1", 8);
        }
        mSnapshot = fleet.snapshot();
        if (condition.equals("unreachable")) {
            mClock.advanceMillis(1);
            List<TestPendingRequest> first = submit(8, 1);
            first.stream()
                    .filter(each -> each.isAt("b"))
                    .forEach(
                            each ->
                                    each.mPermit
                                            .orElseThrow()
                                            .release(EndpointPermit.Result.UNREACHABLE));
            first.stream()
                    .filter(each -> each.isAt("a"))
                    .forEach(
                            each ->
                                    each.mPermit
                                            .orElseThrow()
                                            .release(EndpointPermit.Result.SUCCEEDED));
        }
        if (condition.equals("old_version")) {
            mSnapshot =
                    new TestFleet()
                            .endpoint("a", "dc-1", 8)
                            .version(2, mClock.now().minusSeconds(8))
                            .snapshot();
            TestPendingRequest request = submit(1, 1).get(0);
            assertThat(request.mRefusal.orElseThrow().reason(), is("no_endpoint"));
            return;
        }
        assertThat(submit(6, 1).stream().allMatch(each -> each.isAt("a")), is(true));
    }

    @ParameterizedTest
    @CsvSource({
        // age of the version in ms, whether a request is refused as no endpoint has it
        "6500, false",
        "7500, true"
    })
    void submit_newVersion_isRequiredOnlyFromItsRequiredAge(long ageMillis, boolean isRequired) {
        mSnapshot =
                new TestFleet()
                        .endpoint("a", "dc-1", 8)
                        .version(2, mClock.now().minusMillis(ageMillis))
                        .snapshot();
        assertThat(submit(1, 1).get(0).mRefusal.isPresent(), is(isRequired));
    }

    @Test
    void submit_secondVersionBeforeFirstIsLoaded_keepsDeadlineOfTheFirst() {
        mSnapshot =
                new TestFleet()
                        .endpoint("a", "dc-1", 8)
                        .version(2, mClock.now().minusMillis(7_500))
                        .version(3, mClock.now().minusMillis(5_000))
                        .snapshot();
        assertThat(submit(1, 1).get(0).mRefusal.isPresent(), is(true));
    }

    @ParameterizedTest
    @CsvSource({
        // region that may serve, endpoint that gets the requests while the other one is idle
        "region-1, a",
        "region-2, b"
    })
    void submit_restrictedToRegion_neverLeavesIt(String region, String endpoint) {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 4).endpoint("b", "dc-2", 4).snapshot();
        int granted = 0;
        for (int i = 0; i < 12; i++) {
            TestPendingRequest request = new TestPendingRequest(1, mClock.now().plusMillis(160));
            request.mRegion = Optional.of(region);
            mDispatcher.submit(request);
            granted += request.mPermit.isPresent() ? 1 : 0;
            assertThat(request.mPermit.isEmpty() || request.isAt(endpoint), is(true));
        }
        assertThat(granted, is(8));
    }

    @Test
    void submit_restrictedToRegionWithoutEndpoints_isRefusedImmediately() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 4).snapshot();
        TestPendingRequest request = new TestPendingRequest(1, mClock.now().plusMillis(160));
        request.mRegion = Optional.of("region-2");
        mDispatcher.submit(request);
        assertThat(request.mRefusal.orElseThrow().reason(), is("no_endpoint"));
    }

    @Test
    void submit_noEndpoint_isRefusedImmediatelyWithRetryAfter() {
        mSnapshot = new TestFleet().snapshot();
        PendingRequest.DispatchRefusal refused = submit(1, 1).get(0).mRefusal.orElseThrow();
        assertThat(refused.reason(), is("no_endpoint"));
        assertThat(refused.retryAfter().toMillis(), greaterThan(0L));
    }

    @Test
    void submit_noEngineHasTheModel_isRefusedWithRemainingReloadTime() {
        mSnapshot = new TestFleet().snapshot();
        submit(1, 1);
        mClock.advanceMillis(2_000);
        PendingRequest.DispatchRefusal refused = submit(1, 1).get(0).mRefusal.orElseThrow();
        assertThat(refused.retryAfter().toMillis(), greaterThanOrEqualTo(3_000L));
        assertThat(refused.retryAfter().toMillis(), lessThanOrEqualTo(3_800L));
    }

    @Test
    void submit_noCapacity_grantsHigherPriorityFirst() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 2).snapshot();
        List<TestPendingRequest> running = submit(4, 1);
        assertThat(running.stream().allMatch(each -> each.mPermit.isPresent()), is(true));
        TestPendingRequest lowPriority = submit(1, 5).get(0);
        TestPendingRequest highPriority = submit(1, 0).get(0);
        assertThat(lowPriority.mPermit.isPresent() || highPriority.mPermit.isPresent(), is(false));
        running.get(0).mPermit.orElseThrow().release(EndpointPermit.Result.SUCCEEDED);
        assertThat(highPriority.mPermit.isPresent(), is(true));
        assertThat(lowPriority.mPermit.isPresent(), is(false));
    }

    @Test
    void submit_noCapacity_grantsNewestFirst() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 1).snapshot();
        List<TestPendingRequest> running = submit(2, 1);
        TestPendingRequest older = submit(1, 1).get(0);
        TestPendingRequest newer = submit(1, 1).get(0);
        running.get(0).mPermit.orElseThrow().release(EndpointPermit.Result.SUCCEEDED);
        assertThat(newer.mPermit.isPresent(), is(true));
        assertThat(older.mPermit.isPresent(), is(false));
    }

    @ParameterizedTest
    @CsvSource({
        // prompt tokens per request, number of requests sent to the engine at once
        "3000, 1",
        "1000, 3",
        "100, 8"
    })
    void submit_idleEngine_getsNoMorePromptsThanItProcessesInTime(int tokens, int sent) {
        mSnapshot = new TestFleet().engines(31_900).endpoint("a", "dc-1", 8).snapshot();
        List<TestPendingRequest> all = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            TestPendingRequest request = new TestPendingRequest(1, mClock.now().plusMillis(160));
            request.mPromptTokens = tokens;
            mDispatcher.submit(request);
            all.add(request);
        }
        long granted = all.stream().filter(each -> each.mPermit.isPresent()).count();
        assertThat(granted, is((long) sent));
    }

    @Test
    void submit_engineHasProcessedAPrompt_getsTheNext() {
        mSnapshot = new TestFleet().engines(31_900).endpoint("a", "dc-1", 8).snapshot();
        TestPendingRequest first = new TestPendingRequest(1, mClock.now().plusMillis(160));
        first.mPromptTokens = 3_000;
        mDispatcher.submit(first);
        TestPendingRequest second = new TestPendingRequest(1, mClock.now().plusMillis(160));
        second.mPromptTokens = 3_000;
        mDispatcher.submit(second);
        assertThat(second.mPermit.isPresent(), is(false));
        first.mPermit
                .orElseThrow()
                .onResponse(
                        new ResponseMetadata(
                                200,
                                "",
                                true,
                                false,
                                true,
                                Optional.empty(),
                                Optional.empty(),
                                Optional.empty(),
                                false,
                                Optional.empty()));
        mDispatcher.refresh();
        assertThat(second.mPermit.isPresent(), is(true));
    }

    @Test
    void submit_engineThreeQuartersFull_getsOnlyRequestsThatCanBeOnTime() {
        mSnapshot = new TestFleet().engines(31_900).endpoint("a", "dc-1", 8).snapshot();
        submit(6, 1);
        TestPendingRequest late = new TestPendingRequest(1, mClock.now().plusMillis(800));
        late.mIsLate = true;
        mDispatcher.submit(late);
        assertThat(late.mPermit.isPresent(), is(false));
        assertThat(submit(1, 1).get(0).mPermit.isPresent(), is(true));
    }

    @Test
    void submit_noCapacity_grantsRequestsThatCanBeOnTimeFirst() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 1).snapshot();
        List<TestPendingRequest> running = submit(2, 1);
        TestPendingRequest late = new TestPendingRequest(1, mClock.now().plusMillis(800));
        late.mIsLate = true;
        mDispatcher.submit(late);
        TestPendingRequest onTime = submit(1, 1).get(0);
        running.get(0).mPermit.orElseThrow().release(EndpointPermit.Result.SUCCEEDED);
        assertThat(onTime.mPermit.isPresent(), is(true));
        assertThat(late.mPermit.isPresent(), is(false));
    }

    @Test
    void updateLoads_reportOfTheAgent_overridesOwnEstimate() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).endpoint("b", "dc-1", 8).snapshot();
        reportLoad("127.0.0.1", 17);
        reportLoad("127.0.0.2", 2);
        assertThat(submit(4, 1).stream().allMatch(each -> each.isAt("b")), is(true));
    }

    @Test
    void updateLoads_reportOlderThanARequest_countsTheRequestInAddition() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).engines(30_000).snapshot();
        Duration reportedAt = mClock.now();
        mClock.advanceMillis(100);
        submit(1, 1);
        mClock.advanceMillis(100);
        mDispatcher.updateLoads(
                List.of(new ReportedLoad(new HostPort("127.0.0.1", 80), 7, reportedAt)));
        assertThat(submit(1, 1).get(0).mPermit.isPresent(), is(false));
    }

    @Test
    void updateLoads_reportOlderThanTheLast_isIgnored() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).engines(30_000).snapshot();
        Duration reportedAt = mClock.now();
        mClock.advanceMillis(100);
        reportLoad("127.0.0.1", 8);
        mDispatcher.updateLoads(
                List.of(new ReportedLoad(new HostPort("127.0.0.1", 80), 0, reportedAt)));
        assertThat(submit(1, 1).get(0).mPermit.isPresent(), is(false));
    }

    @Test
    void submit_manyEntriesSeeTheSameCapacity_eachUsesOnlyAPartOfIt() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).entries(8).snapshot();
        reportLoad("127.0.0.1", 8);
        long granted = submit(8, 1).stream().filter(each -> each.mPermit.isPresent()).count();
        assertThat(granted, lessThanOrEqualTo(3L));
        assertThat(granted, greaterThan(0L));
    }

    @Test
    void refresh_queueDeadlineExpired_isRefused() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 1).snapshot();
        submit(2, 1);
        TestPendingRequest waiting = submit(1, 1).get(0);
        assertThat(waiting.mRefusal.isPresent(), is(false));
        mClock.advanceMillis(500);
        mDispatcher.refresh();
        assertThat(waiting.mRefusal.orElseThrow().reason(), is("no_room"));
    }

    @ParameterizedTest
    @CsvSource({
        // entries, rate of the endpoint
        "1, 26",
        "8, 26",
        "46, 36"
    })
    void submit_coldEndpoint_getsThisEntrysShareOfItsRate(int entries, double rate) {
        Duration coldUntil = mClock.now().plusSeconds(60);
        mSnapshot =
                new TestFleet()
                        .endpoint("a", "dc-1", 1_000, EndpointState.READY, coldUntil)
                        .coldRate(rate)
                        .entries(entries)
                        .snapshot();
        int granted = 0;
        for (int i = 0; i < 1_000; i++) {
            granted += submit(1, 1).get(0).mPermit.isPresent() ? 1 : 0;
            mClock.advanceMillis(10);
        }
        // In ten seconds, at most one request more than this entry's share.
        assertThat((double) granted, lessThanOrEqualTo(10 * rate / entries + 1));
        assertThat(granted, greaterThan(0));
    }

    @Test
    void submit_silentEndpoint_isAvoided() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).endpoint("b", "dc-1", 8).snapshot();
        List<TestPendingRequest> first = submit(8, 1);
        first.stream()
                .filter(each -> each.isAt("a"))
                .forEach(
                        each ->
                                each.mPermit
                                        .orElseThrow()
                                        .release(EndpointPermit.Result.SUCCEEDED));
        mClock.advanceMillis(1_500);
        assertThat(submit(4, 1).stream().allMatch(each -> each.isAt("a")), is(true));
    }

    @Test
    void submit_retry_prefersUntriedEndpoint() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).endpoint("b", "dc-1", 8).snapshot();
        TestPendingRequest request = new TestPendingRequest(1, mClock.now().plusMillis(400));
        request.mTriedEndpoints.add("a");
        mDispatcher.submit(request);
        assertThat(request.isAt("b"), is(true));
    }

    @Test
    void submit_equalLoad_prefersOwnRegion() {
        mSnapshot =
                new TestFleet().endpoint("far", "dc-2", 64).endpoint("near", "dc-1", 64).snapshot();
        Set<String> ids = new HashSet<>();
        submit(2, 1).forEach(each -> ids.add(each.mPermit.orElseThrow().endpoint().id()));
        assertThat(ids, containsInAnyOrder("near"));
    }

    private void reportLoad(String host, int requests) {
        mDispatcher.updateLoads(
                List.of(new ReportedLoad(new HostPort(host, 80), requests, mClock.now())));
    }

    private List<TestPendingRequest> submit(int count, int priority) {
        List<TestPendingRequest> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            TestPendingRequest request =
                    new TestPendingRequest(priority, mClock.now().plusMillis(400));
            all.add(request);
            mDispatcher.submit(request);
        }
        return all;
    }
}
