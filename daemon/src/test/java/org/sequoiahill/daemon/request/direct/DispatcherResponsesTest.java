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
 * Tests of {@link Dispatcher}: what endpoints say in answers, and how many connections they take.
 */
final class DispatcherResponsesTest {
    private final ManualClock mClock = new ManualClock();
    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor();
    private FleetSnapshot mPicture = FleetSnapshot.EMPTY;
    private final Dispatcher mDispatcher =
            Dispatcher.of(
                    () -> mPicture,
                    TestFleet.SETTINGS,
                    mClock,
                    new Random(1),
                    DelayedExecutor.of(mScheduler));

    @AfterEach
    void stop() {
        mScheduler.shutdownNow();
    }

    @Test
    void submit_endpointSaidInAnAnswerThatItLeaves_getsNothingMore() {
        mPicture = new TestFleet().endpoint("a", "dc-1", 8).endpoint("b", "dc-1", 8).snapshot();
        List<TestPendingRequest> first = submit(8, 1);
        respond(first, "a", 200, true, Optional.empty());
        mClock.advanceMillis(60_000);
        assertThat(submit(4, 1).stream().noneMatch(each -> each.isAt("a")), is(true));
    }

    @Test
    void submit_onlyEndpointSaidThatItLeaves_isRefusedAtOnce() {
        mPicture = new TestFleet().endpoint("a", "dc-1", 8).snapshot();
        respond(submit(1, 1), "a", 200, true, Optional.empty());
        assertThat(submit(1, 1).get(0).mRejection.orElseThrow().reason(), is("no_endpoint"));
    }

    @ParameterizedTest
    @CsvSource({
        // pause that the endpoint asks for, time since, milliseconds; whether it is sent to
        "2000, 1, false",
        "2000, 500, false",
        "2000, 1999, false",
        "2000, 2000, true",
        "0, 100, true",
        "90000000, 119000, false",
        "90000000, 120000, true"
    })
    void submit_endpointAskedForAPause_getsNothingUntilItsEnd(
            long pauseMillis, long sinceMillis, boolean isSent) {
        mPicture = new TestFleet().endpoint("a", "dc-1", 8).endpoint("b", "dc-1", 8).snapshot();
        List<TestPendingRequest> first = submit(8, 1);
        respond(first, "a", 503, false, Optional.of(Duration.ofMillis(pauseMillis)));
        mClock.advanceMillis(sinceMillis);
        first.forEach(each -> each.mPermit.orElseThrow().release(EndpointPermit.Result.SUCCEEDED));
        assertThat(submit(8, 1).stream().anyMatch(each -> each.isAt("a")), is(isSent));
    }

    @Test
    void submit_shorterPauseAfterALongerOne_doesNotEndIt() {
        mPicture = new TestFleet().endpoint("a", "dc-1", 8).snapshot();
        List<TestPendingRequest> first = submit(1, 1);
        respond(first, "a", 503, false, Optional.of(Duration.ofSeconds(5)));
        respond(first, "a", 503, false, Optional.of(Duration.ofSeconds(1)));
        mClock.advanceMillis(2_000);
        assertThat(submit(1, 1).get(0).mPermit.isPresent(), is(false));
    }

    @Test
    void submit_allEndpointsPauseForLong_isRefusedAtOnceUntilTheFirstReturns() {
        mPicture = new TestFleet().endpoint("a", "dc-1", 8).endpoint("b", "dc-1", 8).snapshot();
        List<TestPendingRequest> first = submit(8, 1);
        respond(first, "a", 503, false, Optional.of(Duration.ofSeconds(5)));
        respond(first, "b", 503, false, Optional.of(Duration.ofSeconds(3)));
        PendingRequest.DispatchRefusal refused = submit(1, 1).get(0).mRejection.orElseThrow();
        assertThat(refused.reason(), is("endpoints_pause"));
        assertThat(refused.retryAfter().toMillis(), greaterThanOrEqualTo(3_000L));
        assertThat(refused.retryAfter().toMillis(), lessThanOrEqualTo(3_800L));
    }

    @Test
    void submit_allEndpointsPauseShortly_waitsForTheEnd() {
        mPicture = new TestFleet().endpoint("a", "dc-1", 8).snapshot();
        List<TestPendingRequest> first = submit(1, 1);
        respond(first, "a", 503, false, Optional.of(Duration.ofMillis(100)));
        TestPendingRequest waiting = submit(1, 1).get(0);
        assertThat(waiting.mRejection.isPresent(), is(false));
        mClock.advanceMillis(100);
        mDispatcher.refresh();
        assertThat(waiting.mPermit.isPresent(), is(true));
    }

    @ParameterizedTest
    @CsvSource({
        // connections that an endpoint takes, entries; requests that this entry has there at most
        "712, 49, 11",
        "110, 8, 11",
        "48, 100, 1"
    })
    void submit_manyEntries_keepWithinTheConnectionsOfAnEndpoint(
            int connections, int entries, int most) {
        mPicture =
                new TestFleet()
                        .endpoint("a", "dc-1", 1_000)
                        .connections(connections)
                        .entries(entries)
                        .snapshot();
        long granted = submit(50, 1).stream().filter(each -> each.mPermit.isPresent()).count();
        assertThat(granted, is((long) most));
    }

    /** Lets the first request at an endpoint be answered. */
    private static void respond(
            List<TestPendingRequest> all,
            String endpoint,
            int status,
            boolean isLeaving,
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
                                isLeaving,
                                pause));
    }

    private List<TestPendingRequest> submit(int count, int priority) {
        List<TestPendingRequest> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            TestPendingRequest asking =
                    new TestPendingRequest(priority, mClock.now().plusMillis(400));
            all.add(asking);
            mDispatcher.submit(asking);
        }
        return all;
    }
}
