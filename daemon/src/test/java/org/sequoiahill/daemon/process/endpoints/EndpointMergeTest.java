package org.sequoiahill.daemon.process.endpoints;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.EndpointState;
import org.sequoiahill.protocol.gen.FeedItem;
import org.sequoiahill.protocol.gen.WatchReply;

/** Tests of {@link EndpointMerge}. */
final class EndpointMergeTest {
    private final EndpointMerge mMerge = new EndpointMerge();

    @ParameterizedTest
    @CsvSource({
        // start, sequence and state at one store; the same at another; merged state
        "100, 5, READY, 100, 6, READY, READY",
        "100, 9, READY, 100, 6, DRAINING, DRAINING",
        "100, 6, DRAINING, 100, 9, READY, DRAINING",
        "100, 6, DRAINING, 200, 1, READY, READY",
        "200, 1, DRAINING, 100, 9, READY, DRAINING"
    })
    void endpoints_storesThatDiffer_latestStartWinsAndLeavingStartStaysLeaving(
            long startA,
            long sequenceA,
            EndpointState stateA,
            long startB,
            long sequenceB,
            EndpointState stateB,
            EndpointState merged) {
        FeedMirror a = mirrorOf(Reports.ready("e", startA, sequenceA).setState(stateA));
        FeedMirror b = mirrorOf(Reports.ready("e", startB, sequenceB).setState(stateB));
        assertThat(mMerge.endpoints(List.of(a, b)).get(0).state(), is(merged));
        assertThat(mMerge.endpoints(List.of(b, a)).get(0).state(), is(merged));
    }

    @Test
    void endpoints_onlyStoreThatKnewOfLeavingIsLost_staysLeaving() {
        FeedMirror informed = mirrorOf(Reports.ready("e", 100, 6).setState(EndpointState.DRAINING));
        FeedMirror uninformed = mirrorOf(Reports.ready("e", 100, 5));
        mMerge.endpoints(List.of(informed, uninformed));
        assertThat(
                mMerge.endpoints(List.of(uninformed)).get(0).state(), is(EndpointState.DRAINING));
    }

    @Test
    void endpoints_twoAtSameAddress_keepsTheOneStartedLast() {
        FeedMirror mirror = mirrorOf(Reports.ready("old", 100, 50), Reports.ready("new", 200, 1));
        List<EndpointInfo> endpoints = mMerge.endpoints(List.of(mirror));
        assertThat(endpoints, hasSize(1));
        assertThat(endpoints.get(0).id(), is("new"));
    }

    @Test
    void endpoints_goneReportWithIdOnly_isGone() {
        FeedMirror informed = mirrorOf(Reports.ready("e", 100, 5));
        EndpointReport goneWithoutAddress =
                Reports.ready("e", 0, 0).setAddress("").setState(EndpointState.GONE);
        List<EndpointInfo> endpoints =
                mMerge.endpoints(List.of(informed, mirrorOf(goneWithoutAddress)));
        assertThat(endpoints.get(0).state(), is(EndpointState.GONE));
    }

    /**
     * Guards against an id that stays gone after the store has dropped it or heard a later start.
     */
    @ParameterizedTest
    @CsvSource({
        // start that the deregistration names, 0 in older releases; later start; whether the item
        // is dropped, else replaced by a report of the later start
        "0, 200, true",
        "0, 200, false",
        "150, 200, true",
        "150, 200, false"
    })
    void endpoints_goneReportIsDroppedOrReplaced_laterStartIsReady(
            long gone, long later, boolean isDropped) {
        EndpointReport without =
                Reports.ready("e", gone, 0).setAddress("").setState(EndpointState.GONE);
        FeedMirror a = mirrorOf(without);
        FeedMirror b = mirrorOf(Reports.ready("e", 100, 5));
        assertThat(mMerge.endpoints(List.of(a, b)).get(0).state(), is(EndpointState.GONE));
        FeedItem next = new FeedItem().setKey(FeedKeys.endpoint("e"));
        WatchReply reply = new WatchReply().setFeed(1).setChange(2);
        reply.addToItems(
                isDropped ? next.setDropped(true) : next.setEndpoint(Reports.ready("e", later, 1)));
        a.apply(reply, Duration.ZERO);
        FeedMirror c = mirrorOf(Reports.ready("e", later, 2));
        assertThat(mMerge.endpoints(List.of(a, b, c)).get(0).state(), is(EndpointState.READY));
    }

    private static FeedMirror mirrorOf(EndpointReport... reports) {
        FeedMirror mirror = new FeedMirror();
        WatchReply reply = new WatchReply().setFeed(1).setChange(1).setWhole(true);
        for (EndpointReport report : reports) {
            reply.addToItems(
                    new FeedItem().setKey(FeedKeys.endpoint(report.getId())).setEndpoint(report));
        }
        mirror.apply(reply, Duration.ZERO);
        return mirror;
    }
}
