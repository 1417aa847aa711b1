package org.sequoiahill.daemon.process.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.ManualClock;
import org.sequoiahill.protocol.gen.FeedItem;
import org.sequoiahill.protocol.gen.FleetContent;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;
import org.sequoiahill.protocol.gen.VersionAge;
import org.sequoiahill.protocol.gen.WatchReply;
import org.sequoiahill.protocol.gen.WatchRequest;
import org.sequoiahill.protocol.json.ParseResult;

/** Tests of {@link FleetView}: the state and table of a daemon are never replaced by older ones. */
final class FleetViewTest {
    private static final HostPort NEAR_STORE = new HostPort("127.0.0.1", 1);
    private static final HostPort FAR_STORE = new HostPort("127.0.0.2", 1);

    private final ManualClock mClock = new ManualClock();
    private final List<Runnable> mScheduled = new ArrayList<>();
    private final FleetView mView =
            FleetView.of(mClock, FleetViewTest::parse, (delay, task) -> mScheduled.add(task));

    @Test
    void apply_manyDaemonsFromAllStores_buildsOneSnapshot() {
        List<FleetSnapshot> snapshots = new ArrayList<>();
        mView.addListener(snapshots::add);
        for (int i = 0; i < 20; i++) {
            mView.apply(NEAR_STORE, daemon("vm-" + i, i + 1));
            mView.apply(FAR_STORE, daemon("vm-" + i, i + 1));
        }
        assertThat(mScheduled.size(), is(1));
        assertThat(snapshots.size(), is(0));
        mScheduled.get(0).run();
        assertThat(snapshots.size(), is(1));
        assertThat(snapshots.get(0).participants(ParticipantRole.ENTRY).size(), is(20));
    }

    @Test
    void apply_contentWhileDaemonsAreBatched_isInSnapshotAtOnceTogetherWithThem() {
        mView.apply(NEAR_STORE, daemon("vm-1", 1));
        mView.apply(NEAR_STORE, reply(true, content(5, 7, true)));
        assertThat(mView.snapshot().state().index(), is(5L));
        assertThat(mView.snapshot().participants(ParticipantRole.ENTRY).size(), is(1));
        List<FleetSnapshot> later = new ArrayList<>();
        mView.addListener(later::add);
        mScheduled.get(0).run();
        assertThat(later.size(), is(0));
    }

    @Test
    void apply_olderContentOfAnotherStore_changesNothing() {
        mView.apply(NEAR_STORE, reply(true, content(5, 7, true)));
        mView.apply(FAR_STORE, reply(true, content(3, 4, true)));
        assertThat(mView.snapshot().state().index(), is(5L));
        assertThat(mView.snapshot().table().orElseThrow().number(), is(7L));
    }

    @Test
    void apply_contentOfStoreThatFollowsNoLeader_isIgnored() {
        mView.apply(NEAR_STORE, reply(false, content(5, 7, true)));
        assertThat(mView.snapshot().table().isPresent(), is(false));
    }

    @Test
    void apply_tableNumberWithoutText_keepsTableAndItsNumber() {
        mView.apply(NEAR_STORE, reply(true, content(5, 7, true)));
        mView.apply(FAR_STORE, reply(true, content(6, 9, false)));
        assertThat(mView.snapshot().state().index(), is(6L));
        assertThat(mView.snapshot().state().routingNumber(), is(7L));
        assertThat(mView.snapshot().table().orElseThrow().number(), is(7L));
    }

    @ParameterizedTest
    @CsvSource({
        // whether the store is in this data centre, milliseconds since a newer table is known,
        // whether to ask
        "true, 0, true",
        "false, 0, false",
        "false, 600, true"
    })
    void prepare_newerTable_isRequestedFromFarStoresOnlyAfterTimeout(
            boolean isInSameDataCentre, long waited, boolean isRequested) {
        mView.apply(NEAR_STORE, reply(true, content(5, 7, true)));
        mView.apply(FAR_STORE, reply(true, content(6, 9, false)));
        mClock.advanceMillis(waited);
        WatchRequest request = new WatchRequest();
        mView.prepare(request, FAR_STORE, isInSameDataCentre);
        assertThat(request.isWantsRouting(), is(isRequested));
    }

    @Test
    void prepare_tablesReplacedFasterThanTimeout_areStillRequestedFromFarStores() {
        mView.apply(NEAR_STORE, reply(true, content(5, 7, true)));
        for (int i = 0; i < 4; i++) {
            mView.apply(FAR_STORE, reply(true, content(6 + i, 8 + i, false)));
            mClock.advanceMillis(300);
        }
        WatchRequest request = new WatchRequest();
        mView.prepare(request, FAR_STORE, false);
        assertThat(request.isWantsRouting(), is(true));
    }

    @Test
    void apply_firstState_treatsItsVersionsAsPublishedLongAgo() {
        mView.apply(NEAR_STORE, reply(true, content(5, 7, true)));
        Duration publishedAt =
                mView.snapshot().versionHistory("model").publishedAfter(1).orElseThrow();
        assertThat(publishedAt.compareTo(mClock.now().minus(Duration.ofMinutes(1))) < 0, is(true));
        mClock.advanceMillis(10);
        FleetContent later = content(6, 7, false);
        later.setVersions(Map.of("model", 3L));
        mView.apply(NEAR_STORE, reply(true, later));
        assertThat(
                mView.snapshot().versionHistory("model").publishedAfter(2),
                is(Optional.of(mClock.now())));
    }

    /**
     * Guards against a daemon that dates versions by when it learned of them, and so accepts older
     * ones too long after its VM was paused.
     */
    @ParameterizedTest
    @CsvSource({
        // milliseconds after the publication of version 2; version that is due by then; version 3
        // is published after 2 s, and versions are due after 7 s
        "6999, 1",
        "7000, 2",
        "8999, 2",
        "9000, 3"
    })
    void apply_versionsPublishedDuringAPause_areDueAtTheirAge(long time, long dueVersion) {
        for (List<WatchReply> readAfterPause :
                List.of(
                        List.of(versions(3, age(2, 6_800), age(3, 4_800))),
                        List.of(versions(2, age(2, 0)), versions(3, age(2, 6_800), age(3, 4_800))),
                        List.of(
                                versions(3, age(2, 2_000), age(3, 0)),
                                ages(age(2, 6_800), age(3, 4_800))))) {
            FleetView view =
                    FleetView.of(
                            mClock, FleetViewTest::parse, (delay, task) -> mScheduled.add(task));
            view.apply(NEAR_STORE, versions(1));
            Duration publication = mClock.now();
            mClock.advanceMillis(6_800);
            readAfterPause.forEach(reply -> view.apply(NEAR_STORE, reply));
            mScheduled.forEach(Runnable::run);
            Duration due = publication.plusMillis(time).minusSeconds(7);
            assertThat(
                    readAfterPause.toString(),
                    view.snapshot().versionHistory("model").newestAt(due),
                    is(OptionalLong.of(dueVersion)));
        }
    }

    @Test
    void apply_versionWhoseAgeStoreOmits_isTreatedAsPublishedLongAgo() {
        mView.apply(NEAR_STORE, versions(1));
        mClock.advanceMillis(3_600_000);
        mView.apply(NEAR_STORE, versions(3, age(3, 4_800)));
        mView.apply(NEAR_STORE, versions(4));
        Duration publishedAt =
                mView.snapshot().versionHistory("model").publishedAfter(3).orElseThrow();
        assertThat(publishedAt.compareTo(mClock.now().minus(Duration.ofMinutes(5))) < 0, is(true));
    }

    private static VersionAge age(long version, long ageMillis) {
        return new VersionAge("model", version, ageMillis);
    }

    private static WatchReply versions(long newest, VersionAge... ages) {
        FleetContent content = content(newest, 0, false);
        content.setVersions(Map.of("model", newest));
        return ages(ages).setContent(content);
    }

    private static WatchReply ages(VersionAge... ages) {
        return reply(true, null).setVersionAges(List.of(ages));
    }

    private static ParseResult<RoutingTable> parse(byte[] text) {
        long number = Long.parseLong(new String(text, StandardCharsets.UTF_8));
        return ParseResult.of(RoutingTable.of(number, List.of(), Map.of(), Map.of(), 0));
    }

    private static FleetContent content(long index, long number, boolean hasText) {
        FleetContent content =
                new FleetContent(index, number, Map.of(), Map.of(), Map.of("model", 2L));
        if (hasText) {
            content.setRouting(
                    DeflatedText.deflate(Long.toString(number).getBytes(StandardCharsets.UTF_8)));
        }
        return content;
    }

    private static WatchReply daemon(String vm, long change) {
        Participant daemon =
                new Participant(
                        vm,
                        vm,
                        ParticipantRole.ENTRY,
                        "dc",
                        "127.0.0.1:1",
                        1,
                        1,
                        "",
                        "",
                        false,
                        Map.of());
        FeedItem item = new FeedItem().setKey("vm/" + vm).setParticipant(daemon);
        return new WatchReply()
                .setFeed(1)
                .setChange(change)
                .setItems(List.of(item))
                .setStores(List.of())
                .setDataCentre("dc");
    }

    private static WatchReply reply(boolean isCurrent, @Nullable FleetContent content) {
        return new WatchReply()
                .setFeed(1)
                .setChange(1)
                .setItems(new ArrayList<>())
                .setStores(List.of())
                .setDataCentre("dc-1")
                .setCurrent(isCurrent)
                .setContent(content);
    }
}
