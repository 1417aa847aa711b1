package org.sequoiahill.daemon.process.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests single faults and operations in a simulated group, mostly of three stores. */
final class LogCoreTest {
    private static final int ELECTION_MILLIS = 1_000;

    private SimulatedGroup mGroup = new SimulatedGroup(3, 3, new Random(5));

    @Test
    void bootstrap_oneStoreIsMissing_waits() {
        mGroup.start("store-0");
        mGroup.start("store-1");

        mGroup.run(ELECTION_MILLIS);

        assertThat(mGroup.leader(), is(Optional.empty()));
    }

    @Test
    void tick_leaderIsIsolated_losesItsLeaseAndStepsDown() {
        SimulatedStore old = startAndAwaitLeader();
        isolate(old);

        mGroup.run(200);
        assertThat(old.holdsLease(mGroup.now()), is(false));

        mGroup.run(ELECTION_MILLIS);
        assertThat(old.core().get().role(), not(is(LogRole.LEADER)));
        assertThat(mGroup.leader().isPresent(), is(true));
    }

    @Test
    void tick_followerIsIsolated_doesNotRaiseTheTerm() {
        SimulatedStore leader = startAndAwaitLeader();
        SimulatedStore other = otherThan(leader);
        long term = leader.core().get().term();
        isolate(other);
        mGroup.run(3 * ELECTION_MILLIS);
        mGroup.healNetwork();

        mGroup.run(ELECTION_MILLIS);

        assertThat(other.core().get().term(), is(term));
        assertThat(mGroup.leader().get().vm(), is(leader.vm()));
    }

    @Test
    void receive_emptyFolder_returnsAsLearnerAndVotesOnceCaughtUp() {
        SimulatedStore leader = startAndAwaitLeader();
        SimulatedStore wiped = otherThan(leader);
        StoreId before = wiped.core().get().self();
        propose(leader, 40);
        wiped.loseDisk();
        mGroup.start(wiped.vm());
        boolean wasLearner = false;
        while (!isVoterNow(leader, wiped)) {
            mGroup.step();
            Membership members = leader.core().get().members();
            wasLearner |= members.byVm(wiped.vm()).filter(m -> !m.isVoter()).isPresent();
        }

        assertThat(wasLearner, is(true));
        assertThat(wiped.core().get().self().incarnation(), greaterThan(before.incarnation()));
        assertThat(wiped.appliedIndex(), greaterThan(40L));
    }

    @Test
    void receive_secondDiskLostAfterFirstRejoined_losesNothing() {
        SimulatedStore leader = startAndAwaitLeader();
        propose(leader, 40);
        long acknowledged = mGroup.acknowledged();
        SimulatedStore first = otherThan(leader);
        first.loseDisk();
        mGroup.start(first.vm());
        while (!isVoterNow(leader, first)) {
            mGroup.step();
        }
        leader.loseDisk();
        mGroup.run(2 * ELECTION_MILLIS);
        assertThat(mGroup.leader().get().appliedIndex(), greaterThan(acknowledged));
        mGroup.healAndVerify();
    }

    /** Guards against a store without its disk that helps one which lacks entries to lead. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 40})
    void receive_diskLostAsAllLosePowerAndOneLags_onlyTheStoreWithTheEntriesIsElected(int missing) {
        SimulatedStore leader = startAndAwaitLeader();
        propose(leader, 10);
        SimulatedStore lagging = otherThan(leader);
        SimulatedStore lost =
                mGroup.stores().stream()
                        .filter(store -> store != leader && store != lagging)
                        .findFirst()
                        .orElseThrow();
        isolate(lagging);
        propose(leader, missing);
        long acknowledged = mGroup.acknowledged();
        lost.loseDisk();
        leader.kill();
        lagging.kill();
        mGroup.dropMessages();
        mGroup.healNetwork();
        mGroup.start(lagging.vm());
        mGroup.start(lost.vm());

        mGroup.run(5 * ELECTION_MILLIS);
        assertThat(mGroup.leader(), is(Optional.empty()));

        mGroup.start(leader.vm());
        mGroup.run(2 * ELECTION_MILLIS);
        assertThat(mGroup.leader().get().appliedIndex(), greaterThan(acknowledged));
        mGroup.healAndVerify();
    }

    @Test
    void receive_olderCopyOfAFolder_isRefusedByTheOthers() {
        SimulatedStore leader = startAndAwaitLeader();
        SimulatedStore rolledBack = otherThan(leader);
        MemoryFolder copy = rolledBack.folder().copy();
        propose(leader, 20);
        rolledBack.kill();
        rolledBack.folder(copy);
        mGroup.start(rolledBack.vm());

        mGroup.run(ELECTION_MILLIS);

        assertThat(rolledBack.core().get().role(), is(LogRole.STOPPED));
    }

    @Test
    void receive_lastRecordDamaged_isRefusedByTheOthers() {
        SimulatedStore leader = startAndAwaitLeader();
        SimulatedStore damaged = otherThan(leader);
        propose(leader, 5);
        damaged.kill();
        damaged.folder().corrupt("segment-", -1);
        mGroup.start(damaged.vm());

        mGroup.run(ELECTION_MILLIS);

        assertThat(damaged.core().get().role(), is(LogRole.STOPPED));
    }

    @Test
    void changeMembers_noQuorumInContact_isRefused() {
        mGroup = new SimulatedGroup(4, 4, new Random(5));
        SimulatedStore leader = startAndAwaitLeader();
        List<SimulatedStore> others =
                mGroup.stores().stream().filter(store -> store != leader).toList();
        others.get(0).kill();
        mGroup.run(400);

        Proposal one = remove(leader, others.get(1));
        assertThat(one.refusal(), is(Optional.empty()));
        mGroup.run(200);
        Proposal two = remove(leader, others.get(2));
        assertThat(two.refusal(), is(Optional.of(LogFailure.Kind.CHANGE_REFUSED)));
    }

    @Test
    void addMember_newStore_becomesVoter() {
        mGroup = new SimulatedGroup(3, 4, new Random(5));
        SimulatedStore leader = startAndAwaitLeader();
        mGroup.start("store-3");

        Proposal added =
                leader.core()
                        .get()
                        .addMember("store-3", "127.20.0.1:1", leader.clock(mGroup.now()));
        assertThat(added.refusal(), is(Optional.empty()));
        mGroup.run(2 * ELECTION_MILLIS);

        assertThat(isVoterNow(leader, mGroup.store("store-3")), is(true));
    }

    @Test
    void transferLeadershipTo_follower_leadsWithoutTwoLeases() {
        SimulatedStore leader = startAndAwaitLeader();
        SimulatedStore next = otherThan(leader);

        leader.core().get().transferLeadershipTo(next.vm(), leader.clock(mGroup.now()));
        mGroup.run(100);

        assertThat(mGroup.leader().get().vm(), is(next.vm()));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 256 << 10, 700_000})
    void receive_snapshotOfAnySize_arrivesComplete(int bytes) {
        byte[] data = new byte[bytes];
        new Random(1).nextBytes(data);
        Membership members = new Membership(SimulatedStore.seeds(3));
        Snapshot snapshot = new Snapshot(9, 2, members, ByteBuffer.wrap(data));
        CoreState leader = coreOf("store-0", new StoredState(hard(3), snapshot, 9, 2, List.of()));
        CoreState follower = coreOf("store-1", StoredState.EMPTY);
        Replication replication = Replication.of(leader);
        Follower receiver = Follower.of(follower);
        Progress progress = Progress.of(1, 9, Duration.ZERO, Duration.ZERO);

        replication.sendHeartbeat(follower.self(), progress);
        int chunks = 0;
        while (follower.log().isUninitialised()) {
            Message sent = leader.drain().messages().get(0);
            Message.SnapshotChunk chunk = (Message.SnapshotChunk) sent.body();
            if (!receiver.onSnapshotChunk(sent, chunk)) {
                Message reply = follower.drain().messages().get(0);
                replication.onSnapshotReply(
                        follower.self(), progress, (Message.SnapshotReply) reply.body());
            }
            chunks++;
        }

        assertThat(follower.log().snapshot(), is(snapshot));
        assertThat(chunks, lessThan(bytes / (256 << 10) + 2));
    }

    @Test
    void propose_tooManyUncommitted_isRefusedAsBusy() {
        SimulatedStore leader = startAndAwaitLeader();
        isolate(leader);
        LogCore core = leader.core().get();
        ByteBuffer payload = ByteBuffer.allocate(8);
        for (int i = 0; i < Leadership.MAX_UNCOMMITTED_ENTRIES; i++) {
            assertThat(core.propose(payload, now(leader)).refusal(), is(Optional.empty()));
        }

        assertThat(
                core.propose(payload, now(leader)).refusal(),
                is(Optional.of(LogFailure.Kind.BUSY)));
    }

    @Test
    void propose_follower_isRefused() {
        SimulatedStore follower = otherThan(startAndAwaitLeader());

        Proposal proposal = follower.core().get().propose(ByteBuffer.allocate(8), now(follower));

        assertThat(proposal.refusal(), is(Optional.of(LogFailure.Kind.NOT_LEADER)));
    }

    @Test
    void propose_tooLarge_isRefused() {
        SimulatedStore leader = startAndAwaitLeader();
        ByteBuffer large = ByteBuffer.allocate(Leadership.MAX_PAYLOAD_BYTES + 1);

        Proposal proposal = leader.core().get().propose(large, now(leader));

        assertThat(proposal.refusal(), is(Optional.of(LogFailure.Kind.TOO_LARGE)));
    }

    private SimulatedStore startAndAwaitLeader() {
        mGroup.startAll();
        while (mGroup.leader().filter(store -> store.holdsLease(mGroup.now())).isEmpty()) {
            mGroup.step();
        }
        mGroup.run(100);
        return mGroup.leader().get();
    }

    private SimulatedStore otherThan(SimulatedStore store) {
        return mGroup.stores().stream().filter(other -> other != store).findFirst().get();
    }

    private void isolate(SimulatedStore store) {
        for (SimulatedStore other : mGroup.stores()) {
            mGroup.cut(store.vm(), other.vm());
            mGroup.cut(other.vm(), store.vm());
        }
    }

    private void propose(SimulatedStore leader, int count) {
        for (int i = 0; i < count; i++) {
            leader.propose(i, mGroup.now());
            mGroup.run(20);
        }
        mGroup.run(200);
    }

    private Proposal remove(SimulatedStore leader, SimulatedStore removed) {
        return leader.core().get().removeMember(removed.vm(), now(leader));
    }

    private Duration now(SimulatedStore store) {
        return store.clock(mGroup.now());
    }

    private static boolean isVoterNow(SimulatedStore leader, SimulatedStore store) {
        return leader.core().get().members().isVoter(store.core().get().self());
    }

    private static HardState hard(long term) {
        return new HardState(1, term, Optional.empty());
    }

    private static CoreState coreOf(String vm, StoredState stored) {
        Message.Start start = new Message.Start(1, 1, 0, 0);
        StoreId id = new StoreId(vm, 1);
        LocalStore local = LocalStore.of(id, "127.20.0.1:1", start, SimulatedStore.seeds(3));
        return CoreState.of(
                local, stored, SimulatedStore.TIMING, new Random(1), Duration.ofSeconds(1));
    }
}
