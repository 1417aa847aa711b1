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

/** Tests of stores that take seats without an order. */
final class VoterPolicyTest {
    private static final VoterPolicy THREE_SEATS = new VoterPolicy(3, Duration.ofMillis(600));
    private static final VoterPolicy BY_ORDER = VoterPolicy.manual();

    @ParameterizedTest
    @ValueSource(strings = {"store-0", "store-1", "store-2"})
    void voterGoneForGood_spareStore_takesItsSeat(String gone) {
        SimulatedGroup group = started(THREE_SEATS);
        group.store(gone).kill();
        group.run(8_000);
        List<String> voters = votersOf(group);
        assertThat(voters.contains("store-3"), is(true));
        assertThat(voters.contains(gone), is(false));
        assertThat(voters.size(), is(3));
    }

    @Test
    void allVotersHeard_spareStore_staysLearner() {
        SimulatedGroup group = started(THREE_SEATS);
        group.run(3_000);
        assertThat(votersOf(group), containsInAnyOrder("store-0", "store-1", "store-2"));
        assertThat(group.members().byVm("store-3").isPresent(), is(true));
    }

    @ParameterizedTest
    @ValueSource(ints = {1_000, 8_000, 30_000})
    void learnerThatAnswersLate_underALeaderOfLongStanding_staysAMember(int age) {
        SimulatedGroup group = new SimulatedGroup(3, 4, new Random(3), THREE_SEATS);
        List.of("store-0", "store-1", "store-2").forEach(group::start);
        group.run(age);
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
    void diskLost_underALeaderOfLongStanding_votesAgain() {
        SimulatedGroup group = started(THREE_SEATS);
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
    void policyByOrder_unknownStore_isNotTakenIn() {
        SimulatedGroup group = started(BY_ORDER);
        group.run(3_000);
        assertThat(group.members().byVm("store-3").isPresent(), is(false));
    }

    @Test
    void founderWithoutItsDisk_thatMayNotFound_joins() {
        SimulatedGroup group = started(THREE_SEATS);
        group.store("store-0").loseDisk();
        group.run(1_000);
        group.start("store-0");
        group.run(4_000);
        assertThat(group.members().byVm("store-0").isPresent(), is(true));
        group.healAndVerify();
    }

    @Test
    void storesThatMayNotFound_allBlank_foundNothing() {
        SimulatedGroup group = new SimulatedGroup(3, 3, new Random(5), THREE_SEATS);
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
