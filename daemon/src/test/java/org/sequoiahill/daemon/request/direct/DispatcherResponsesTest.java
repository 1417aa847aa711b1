package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.time.DelayedExecutor;
import org.sequoiahill.daemon.process.time.ManualClock;

/**
 * Tests of {@link Dispatcher}: information in responses of endpoints, and limits of their
 * connections.
 */
final class DispatcherResponsesTest {
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
    void submit_responseSaysDraining_endpointGetsNoMoreRequests() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).endpoint("b", "dc-1", 8).snapshot();
        List<TestPendingRequest> first = submit(8, 1);
        respond(first, "a", 200, true, Optional.empty());
        mClock.advanceMillis(60_000);
        assertThat(submit(4, 1).stream().noneMatch(each -> each.isAt("a")), is(true));
    }

    @Test
    void submit_onlyEndpointIsDraining_isRefusedImmediately() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).snapshot();
        respond(submit(1, 1), "a", 200, true, Optional.empty());
        assertThat(submit(1, 1).get(0).mRefusal.orElseThrow().reason(), is("no_endpoint"));
    }

    @ParameterizedTest
    @CsvSource({
        // pause that the endpoint requests, time since then (ms); whether it is sent requests
        "2000, 1, false",
        "2000, 500, false",
        "2000, 1999, false",
        "2000, 2000, true",
        "0, 100, true",
        "90000000, 119000, false",
        "90000000, 120000, true"
    })
    void submit_endpointRequestedPause_getsNoRequestsUntilItsEnd(
            long pauseMillis, long sinceMillis, boolean isSent) {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).endpoint("b", "dc-1", 8).snapshot();
        List<TestPendingRequest> first = submit(8, 1);
        respond(first, "a", 503, false, Optional.of(Duration.ofMillis(pauseMillis)));
        mClock.advanceMillis(sinceMillis);
        first.forEach(each -> each.mPermit.orElseThrow().release(EndpointPermit.Result.SUCCEEDED));
        assertThat(submit(8, 1).stream().anyMatch(each -> each.isAt("a")), is(isSent));
    }

    @Test
    void submit_shorterPauseAfterLongerOne_keepsTheLongerOne() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).snapshot();
        List<TestPendingRequest> first = submit(1, 1);
        respond(first, "a", 503, false, Optional.of(Duration.ofSeconds(5)));
        respond(first, "a", 503, false, Optional.of(Duration.ofSeconds(1)));
        mClock.advanceMillis(2_000);
        assertThat(submit(1, 1).get(0).mPermit.isPresent(), is(false));
    }

    @Test
    void submit_allEndpointsPausedBeyondQueueDeadline_isRefusedWithTimeToTheFirstEnd() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).endpoint("b", "dc-1", 8).snapshot();
        List<TestPendingRequest> first = submit(8, 1);
        respond(first, "a", 503, false, Optional.of(Duration.ofSeconds(5)));
        respond(first, "b", 503, false, Optional.of(Duration.ofSeconds(3)));
        PendingRequest.DispatchRefusal refused = submit(1, 1).get(0).mRefusal.orElseThrow();
        assertThat(refused.reason(), is("endpoints_pause"));
        assertThat(refused.retryAfter().toMillis(), greaterThanOrEqualTo(3_000L));
        assertThat(refused.retryAfter().toMillis(), lessThanOrEqualTo(3_800L));
    }

    @Test
    void submit_allEndpointsPausedBriefly_waitsForTheEnd() {
        mSnapshot = new TestFleet().endpoint("a", "dc-1", 8).snapshot();
        List<TestPendingRequest> first = submit(1, 1);
        respond(first, "a", 503, false, Optional.of(Duration.ofMillis(100)));
        TestPendingRequest waiting = submit(1, 1).get(0);
        assertThat(waiting.mRefusal.isPresent(), is(false));
        mClock.advanceMillis(100);
        mDispatcher.refresh();
        assertThat(waiting.mPermit.isPresent(), is(true));
    }

    @ParameterizedTest
    @CsvSource({
        // connection limit of the endpoint, entries; maximum number of requests of this entry
        "712, 49, 11",
        "110, 8, 11",
        "48, 100, 1"
    })
    void submit_manyEntries_stayWithinConnectionLimit(int connections, int entries, int max) {
        mSnapshot =
                new TestFleet()
                        .endpoint("a", "dc-1", 1_000)
                        .connections(connections)
                        .entries(entries)
                        .snapshot();
        long granted = submit(50, 1).stream().filter(each -> each.mPermit.isPresent()).count();
        assertThat(granted, is((long) max));
    }

    /** Delivers a response to the first request at an endpoint. */
    private static void respond(
            List<TestPendingRequest> all,
            String endpoint,
            int status,
            boolean isDraining,
            Optional<Duration> pause) {
        all.stream()
                .filter(each -> each.isAt(endpoint))
                .findFirst()
                .flatMap(each -> each.mPermit)
                .orElseThrow()
                .onResponse(
                        new ResponseMetadata(
                                status,
                                "",
                                true,
                                false,
                                false,
                                Optional.empty(),
                                Optional.empty(),
                                Optional.empty(),
                                isDraining,
                                pause));
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
