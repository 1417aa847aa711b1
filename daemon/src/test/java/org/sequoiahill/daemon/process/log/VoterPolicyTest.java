package org.sequoiahill.daemon.process.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how a leader replaces voters, automatically or not. */
final class VoterPolicyTest {
    private static final VoterPolicy THREE_VOTERS = new VoterPolicy(3, Duration.ofMillis(600));
    private static final VoterPolicy MANUAL = VoterPolicy.manual();

    @ParameterizedTest
    @ValueSource(strings = {"store-0", "store-1", "store-2"})
    void voterGonePermanently_spareStore_replacesIt(String lostVoter) {
        SimulatedGroup group = started(THREE_VOTERS);
        group.store(lostVoter).kill();
        group.run(8_000);
        List<String> voters = votersOf(group);
        assertThat(voters.contains("store-3"), is(true));
        assertThat(voters.contains(lostVoter), is(false));
        assertThat(voters.size(), is(3));
    }

    @Test
    void allVotersResponsive_spareStore_staysLearner() {
        SimulatedGroup group = started(THREE_VOTERS);
        group.run(3_000);
        assertThat(votersOf(group), containsInAnyOrder("store-0", "store-1", "store-2"));
        assertThat(group.members().byVm("store-3").isPresent(), is(true));
    }

    @ParameterizedTest
    @ValueSource(ints = {1_000, 8_000, 30_000})
    void learnerThatRespondsLate_underALongServingLeader_staysAMember(int leaderMillis) {
        SimulatedGroup group = new SimulatedGroup(3, 4, new Random(3), THREE_VOTERS);
        List.of("store-0", "store-1", "store-2").forEach(group::start);
        group.run(leaderMillis);
        group.start("store-3");
        while (!isMember(group, "store-3")) {
            group.step();
        }
        group.store("store-3").freeze(group.now() + 500);
        for (int i = 0; i < 100; i++) {
            group.step();
            assertThat(isMember(group, "store-3"), is(true));
        }
    }

    @Test
    void diskLost_underALongServingLeader_becomesVoterAgain() {
        SimulatedGroup group = started(THREE_VOTERS);
        group.run(20_000);
        group.store("store-3").kill();
        group.run(20_000);
        String lost = "store-2";
        group.store(lost).loseDisk();
        group.run(1_000);
        group.start(lost);
        group.run(5_000);
        assertThat(votersOf(group).contains(lost), is(true));
    }

    @Test
    void manualPolicy_unknownStore_isNotAdmitted() {
        SimulatedGroup group = started(MANUAL);
        group.run(3_000);
        assertThat(group.members().byVm("store-3").isPresent(), is(false));
    }

    @Test
    void bootstrapStoreWithoutItsDisk_thatMayNotBootstrap_joins() {
        SimulatedGroup group = started(THREE_VOTERS);
        group.store("store-0").loseDisk();
        group.run(1_000);
        group.start("store-0");
        group.run(4_000);
        assertThat(group.members().byVm("store-0").isPresent(), is(true));
        group.healAndVerify();
    }

    @Test
    void storesThatMayNotBootstrap_allUninitialised_formNoGroup() {
        SimulatedGroup group = new SimulatedGroup(3, 3, new Random(5), THREE_VOTERS);
        group.stores().forEach(SimulatedStore::loseDisk);
        group.startAll();
        group.run(3_000);
        assertThat(group.members().members(), empty());
    }

    private static boolean isMember(SimulatedGroup group, String vm) {
        return group.leader()
                .flatMap(SimulatedStore::core)
                .flatMap(core -> core.members().byVm(vm))
                .isPresent();
    }

    private static SimulatedGroup started(VoterPolicy policy) {
        SimulatedGroup group = new SimulatedGroup(3, 4, new Random(11), policy);
        group.startAll();
        group.run(2_000);
        return group;
    }

    private static List<String> votersOf(SimulatedGroup group) {
        return group.members().voters().stream().map(voter -> voter.id().vm()).toList();
    }
}
