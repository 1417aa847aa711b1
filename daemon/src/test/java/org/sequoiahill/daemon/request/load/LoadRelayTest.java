package org.sequoiahill.daemon.request.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.FleetState;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.ManualClock;
import org.sequoiahill.daemon.request.direct.DirectSettings;
import org.sequoiahill.daemon.request.direct.Dispatcher;
import org.sequoiahill.protocol.gen.EngineLoad;
import org.sequoiahill.protocol.gen.LoadDigest;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/** Tests of {@link LoadRelay}: receivers, number of calls and age of relayed loads. */
final class LoadRelayTest {
    private final ManualClock mClock = new ManualClock();
    private final List<Runnable> mDelayedTasks = new ArrayList<>();
    private final List<String> mSent = new ArrayList<>();
    private final List<LoadDigest> mDigests = new ArrayList<>();
    private CompletableFuture<?> mResponse = CompletableFuture.completedFuture("accepted");
    private FleetSnapshot mSnapshot =
            fleet("a1:dc-a", "a2:dc-a", "a3:dc-a", "b1:dc-b", "b2:dc-b", "c1:dc-c");
    private final LoadRelay mRelay =
            LoadRelay.of(
                    Identity.of("a1", "dc-a", 1),
                    () -> mSnapshot,
                    Dispatcher.of(
                            () -> mSnapshot,
                            new DirectSettings(
                                    "a1",
                                    Map.of(),
                                    "r",
                                    0.2,
                                    Duration.ZERO,
                                    1,
                                    Duration.ZERO,
                                    Duration.ZERO),
                            mClock,
                            new Random(1),
                            (delay, task) -> {}),
                    this::send,
                    (delay, task) -> mDelayedTasks.add(task),
                    mClock);

    @Test
    void told_byAgent_isRelayedToPeersAndToOneEntryOfEachOtherDataCentre() {
        mRelay.told(load("e1", 3, 0));
        flush();
        assertThat(mSent, contains("a2", "a3", "b1", "c1"));
    }

    @ParameterizedTest
    @CsvSource({
        // data centre of the entry that relays loads to this one, number of entries that get them
        "dc-b, 2",
        "dc-a, 0"
    })
    void passedOn_fromAnEntry_isRelayedOnlyWithinThisDataCentre(String from, int receivers) {
        mRelay.passedOn(new LoadDigest(from, List.of(load("e1", 3, 0))));
        flush();
        assertThat(mSent, hasSize(receivers));
    }

    @Test
    void told_repeatedlyBeforeTheFlush_isOneCallWithTheNewest() {
        for (int running = 0; running < 10; running++) {
            mRelay.told(load("e1", running, 0));
        }
        assertThat(mDelayedTasks, hasSize(1));
        flush();
        assertThat(mDigests.get(0).getLoads(), hasSize(1));
        assertThat(mDigests.get(0).getLoads().get(0).getRunning(), is(9));
    }

    @Test
    void told_flushedLater_isRelayedWithItsAge() {
        mRelay.told(load("e1", 3, 5));
        mClock.advanceMillis(40);
        flush();
        assertThat(mDigests.get(0).getLoads().get(0).getAgeMillis(), is(45));
    }

    @Test
    void told_expiredBeforeTheFlush_isNotRelayed() {
        mRelay.told(load("e1", 3, 0));
        mClock.advanceMillis(1_001);
        flush();
        assertThat(mSent, empty());
    }

    @Test
    void flush_previousCallUnanswered_sendsTheReceiverNothing() {
        mResponse = new CompletableFuture<>();
        mRelay.told(load("e1", 3, 0));
        flush();
        mRelay.told(load("e1", 4, 0));
        flush();
        assertThat(mSent, hasSize(4));
        mResponse.complete(null);
        mRelay.told(load("e2", 1, 0));
        flush();
        assertThat(mSent, hasSize(8));
        assertThat(mDigests.get(7).getLoads(), hasSize(2));
    }

    @Test
    void flush_collectorOfAnotherDataCentreUnreachable_triesTheNext() {
        mResponse = CompletableFuture.failedFuture(new IOException("lost"));
        mRelay.told(load("e1", 3, 0));
        flush();
        mRelay.told(load("e1", 4, 0));
        flush();
        assertThat(mSent, contains("a2", "a3", "b1", "c1", "a2", "a3", "b2", "c1"));
    }

    @ParameterizedTest
    @CsvSource({
        // entries, data centres, agents
        "6, 3, 11",
        "49, 5, 63",
        "350, 7, 940"
    })
    void calls_growWithEntriesAndAgents_notWithTheirProduct(
            int entries, int dataCentres, int agents) {
        String[] names = new String[entries];
        for (int i = 0; i < entries; i++) {
            names[i] = "e" + i + ":dc-" + i % dataCentres;
        }
        LoadRelayTopology topology =
                LoadRelayTopology.among(fleet(names).participants(ParticipantRole.ENTRY));
        int calls = agents;
        for (int i = 0; i < dataCentres; i++) {
            String collector = topology.collector("dc-" + i, 0).orElseThrow().getVm();
            // Its own digest, and one from each collector of another data centre.
            calls += topology.peersIn(collector, "dc-" + i).size() * dataCentres;
            calls += topology.otherDataCentres("dc-" + i).size();
        }
        assertThat(
                calls,
                lessThanOrEqualTo(agents + entries * dataCentres + dataCentres * dataCentres));
    }

    @Test
    void collector_dataCentreWithoutEntries_isInAnotherOne() {
        LoadRelayTopology topology =
                LoadRelayTopology.among(mSnapshot.participants(ParticipantRole.ENTRY));
        assertThat(topology.collector("dc-z", 0).map(Participant::getVm), is(Optional.of("a1")));
        assertThat(LoadRelayTopology.among(List.of()).collector("dc-a", 0), is(Optional.empty()));
    }

    private CompletableFuture<?> send(HostPort entry, LoadDigest digest) {
        mSnapshot.participants(ParticipantRole.ENTRY).stream()
                .filter(each -> each.getControl().equals(entry.toString()))
                .forEach(each -> mSent.add(each.getVm()));
        mDigests.add(digest);
        return mResponse;
    }

    private void flush() {
        List<Runnable> tasks = List.copyOf(mDelayedTasks);
        mDelayedTasks.clear();
        tasks.forEach(Runnable::run);
    }

    private static EngineLoad load(String engine, int running, int ageMillis) {
        return new EngineLoad("10.0.0." + engine.substring(1) + ":80", running, 0, ageMillis);
    }

    /** Returns a fleet of entries, each given as VM:data centre. */
    private static FleetSnapshot fleet(String... entries) {
        List<Participant> participants = new ArrayList<>();
        for (String entry : entries) {
            String[] parts = entry.split(":", -1);
            participants.add(
                    new Participant(
                            parts[0],
                            parts[0],
                            ParticipantRole.ENTRY,
                            parts[1],
                            "127.0.0.1:" + (1_000 + participants.size()),
                            1,
                            1,
                            "",
                            "",
                            false,
                            Map.of()));
        }
        return FleetSnapshot.of(
                FleetState.EMPTY, Optional.empty(), Map.of(), participants, Map.of(), 0);
    }
}
