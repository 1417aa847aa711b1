package org.sequoiahill.daemon.process.endpoints;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.time.ManualClock;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.EndpointState;
import org.sequoiahill.protocol.gen.FeedItem;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.WatchReply;

/** Tests of {@link EndpointRegistry}. */
final class EndpointRegistryTest {
    private static final Duration LEASE = Duration.ofSeconds(6);
    private static final long FEED = 7;

    private final ManualClock mClock = new ManualClock();
    private final EndpointRegistry mRegistry =
            EndpointRegistry.of(
                    mClock, () -> Instant.ofEpochMilli(150), LEASE, Duration.ofSeconds(4), FEED);

    @ParameterizedTest
    @CsvSource({
        // startedAt, sequence and state of a second report; resulting state
        "100, 6, READY, READY",
        "100, 6, DRAINING, DRAINING",
        "100, 4, DRAINING, READY",
        "90, 99, DRAINING, READY",
        "110, 1, READY, READY",
        "110, 1, DRAINING, DRAINING"
    })
    void report_afterAnother_ordersByStartAndSequence(
            long startedAt, long sequence, EndpointState state, EndpointState held) {
        mRegistry.report(Reports.ready("e", 100, 5));
        mRegistry.report(Reports.ready("e", startedAt, sequence).setState(state));
        assertThat(held("e").getState(), is(held));
    }

    @Test
    void report_readyAfterDrainingOfTheSameStart_staysDraining() {
        mRegistry.report(Reports.ready("e", 100, 5).setState(EndpointState.DRAINING));
        mRegistry.report(Reports.ready("e", 100, 6));
        assertThat(held("e").getState(), is(EndpointState.DRAINING));
    }

    @Test
    void report_readyOfLaterStart_isReadyAgain() {
        mRegistry.report(Reports.ready("e", 100, 5).setState(EndpointState.DRAINING));
        mRegistry.report(Reports.ready("e", 200, 1));
        assertThat(held("e").getState(), is(EndpointState.READY));
    }

    @ParameterizedTest
    @CsvSource({"READY, false", "DRAINING, true"})
    void report_firstWithState_mustBeRelayedOnlyIfLeaving(
            EndpointState state, boolean mustBeRelayed) {
        assertThat(mRegistry.report(Reports.ready("e", 100, 5).setState(state)), is(mustBeRelayed));
        assertThat(mRegistry.report(Reports.ready("e", 100, 6).setState(state)), is(false));
    }

    @Test
    void goneReport_knownEndpoint_keepsItsStart() {
        mRegistry.report(Reports.ready("e", 100, 5));
        mRegistry.report(mRegistry.goneReport("e", 0));
        assertThat(held("e").getState(), is(EndpointState.GONE));
        assertThat(held("e").getStartedAt(), is(100L));
    }

    /**
     * Guards against an agent that is used while it loads, since an older description came late.
     */
    @ParameterizedTest
    @CsvSource({
        // incarnation and revision of a later description; revision held
        "7, 4, 5",
        "7, 6, 6",
        "8, 1, 1"
    })
    void recordParticipant_afterAnother_keepsTheNewerOfOneIncarnation(
            long incarnation, long revision, long held) {
        mRegistry.recordParticipant(participant(7, 5));
        mRegistry.recordParticipant(participant(incarnation, revision));
        assertThat(read(0, 0).getItems().get(0).getParticipant().getRevision(), is(held));
    }

    @Test
    void recordParticipant_olderRevision_renewsTheLease() {
        mRegistry.recordParticipant(participant(7, 5));
        mClock.advanceMillis(3_000);
        mRegistry.recordParticipant(participant(7, 4));
        mClock.advanceMillis(3_000);
        mRegistry.expire();
        assertThat(mRegistry.participantCount(), is(1));
    }

    private static Participant participant(long incarnation, long revision) {
        return new Participant().setVm("vm").setIncarnation(incarnation).setRevision(revision);
    }

    @Test
    void await_readerThatIsUpToDate_receivesNothing() {
        mRegistry.report(Reports.ready("e", 100, 5));
        WatchReply first = read(0, 0);
        mRegistry.report(Reports.ready("e", 100, 6));
        assertThat(read(FEED, first.getChange()).getItems(), empty());
    }

    @Test
    void await_readerOfAnotherFeed_receivesCompleteFeed() {
        mRegistry.report(Reports.ready("e", 100, 5));
        WatchReply reply = read(FEED + 1, 99);
        assertThat(reply.isWhole(), is(true));
        assertThat(reply.getItems(), hasSize(1));
    }

    @Test
    void expire_afterLease_notifiesReaders() {
        mRegistry.report(Reports.ready("e", 100, 5));
        WatchReply first = read(0, 0);
        mClock.advance(LEASE.plusMillis(1));
        mRegistry.expire();
        List<FeedItem> items = read(FEED, first.getChange()).getItems();
        assertThat(items, hasSize(1));
        assertThat(items.get(0).isDropped(), is(true));
    }

    @ParameterizedTest
    @CsvSource({
        // start and sequence of a wrong report with the id of an endpoint
        "9000000000000000, 1",
        "100, 9000000000000000"
    })
    void report_afterOneFarAhead_isHeldAgainAfterOneLease(long startedAt, long sequence) {
        mRegistry.report(Reports.ready("e", 100, 5));
        mRegistry.report(Reports.ready("e", startedAt, sequence).setAddress("127.0.0.8:1"));
        for (int i = 6; i < 20; i++) {
            mClock.advanceMillis(LEASE.toMillis() / 10);
            mRegistry.expire();
            mRegistry.report(Reports.ready("e", 100, i));
        }
        assertThat(held("e").getAddress(), is("127.0.0.9:80"));
        mRegistry.report(Reports.ready("e", 100, 20).setState(EndpointState.DRAINING));
        assertThat(held("e").getState(), is(EndpointState.DRAINING));
    }

    @Test
    void await_coldEndpoint_returnsRemainingColdTime() {
        mRegistry.report(Reports.ready("e", 100, 5).setColdMillis(3_000));
        mClock.advanceMillis(1_000);
        assertThat(held("e").getColdMillis(), is(2_000L));
    }

    @ParameterizedTest
    @CsvSource({
        // cold time in the first report, time between reports, cold time in the second; whether
        // readers are notified
        "3000, 1200, 1800, false",
        "3000, 1200, 3000, true",
        "0, 1200, 0, false",
        "0, 1200, 2000, true",
        "3000, 3500, 0, false"
    })
    void report_coldTime_notifiesReadersOnlyIfItsEndMoves(
            long first, long between, long second, boolean isNotified) {
        mRegistry.report(Reports.ready("e", 100, 5).setColdMillis(first));
        WatchReply before = read(0, 0);
        mClock.advanceMillis(between);
        mRegistry.report(Reports.ready("e", 100, 6).setColdMillis(second));
        assertThat(read(FEED, before.getChange()).getItems().isEmpty(), is(!isNotified));
    }

    private EndpointReport held(String id) {
        return read(0, 0).getItems().stream()
                .map(FeedItem::getEndpoint)
                .filter(report -> report.getId().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private WatchReply read(long feed, long change) {
        WatchReply reply = new WatchReply().setItems(new ArrayList<>());
        mRegistry.await(reply, feed, change, Duration.ZERO, () -> false);
        return reply;
    }
}
