package org.sequoiahill.daemon.process.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs seeded schedules of faults against simulated groups; each row combines some kinds of fault.
 */
final class LogFaultTableTest {
    private static final int SEEDS = Integer.getInteger("log.seeds", 200);
    private static final int POWER_LOSS_SEEDS = Integer.getInteger("log.seeds", 50);
    private static final int FIRST_SEED = Integer.getInteger("log.seed", 1);
    private static final int[] STEPS_PER_CALL = {2, 3, 50, 150};
    private static final int RUN_MILLIS = 5_000;
    private static final int SEED_STORES = 3;
    private static final int NEVER = -1;
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(600);

    private enum Fault {
        LOSS,
        CUT,
        ONE_WAY_CUT,
        ISOLATE,
        FREEZE,
        SUSPEND,
        RESTART,
        FAILED_SYNC,
        FULL_DISK,
        LOST_DISK,
        /** Some stores lose their disks, and at the same moment the others lose power. */
        DISKS_AND_POWER,
        MEMBER_CHANGE,
        LEADERSHIP_TRANSFER
    }

    private enum Row {
        LOSS_DUPLICATION_DELAY(Fault.LOSS),
        CUTS(Fault.CUT, Fault.ONE_WAY_CUT, Fault.LOSS),
        ISOLATED_LEADERS(Fault.ISOLATE, Fault.RESTART),
        FREEZES(Fault.FREEZE, Fault.ONE_WAY_CUT),
        SUSPENDS(Fault.SUSPEND),
        SUSPENDS_AND_CUTS(Fault.SUSPEND, Fault.CUT, Fault.LOSS),
        RESTARTS(Fault.RESTART, Fault.LOSS),
        FAILED_SYNCS(Fault.FAILED_SYNC, Fault.RESTART),
        FULL_DISKS(Fault.FULL_DISK, Fault.FAILED_SYNC, Fault.LOSS),
        LOST_DISKS(Fault.LOST_DISK, Fault.LOSS),
        LOST_DISKS_AND_CUTS(Fault.LOST_DISK, Fault.CUT, Fault.FREEZE),
        MEMBER_CHANGES_DURING_ELECTIONS(Fault.MEMBER_CHANGE, Fault.CUT, Fault.LEADERSHIP_TRANSFER),
        LEADERSHIP_TRANSFERS(Fault.LEADERSHIP_TRANSFER, Fault.FREEZE, Fault.LOSS),
        DISKS_AND_POWER(Fault.DISKS_AND_POWER),
        DISKS_AND_POWER_LOSS(Fault.DISKS_AND_POWER, Fault.LOSS, Fault.ONE_WAY_CUT),
        DISKS_AND_POWER_SNAPSHOTS(Fault.DISKS_AND_POWER, Fault.ISOLATE, Fault.LOST_DISK),
        DISKS_AND_POWER_REOPENED_LOGS(Fault.DISKS_AND_POWER, Fault.FULL_DISK, Fault.FAILED_SYNC),
        DISKS_AND_POWER_MEMBER_CHANGES(
                Fault.DISKS_AND_POWER, Fault.MEMBER_CHANGE, Fault.LEADERSHIP_TRANSFER),
        DISKS_AND_POWER_AUTOMATIC_MEMBERS(3, Fault.DISKS_AND_POWER, Fault.LOST_DISK, Fault.FREEZE),
        DISKS_AND_POWER_AUTOMATIC_MEMBERS_MIXED(
                3,
                Fault.DISKS_AND_POWER,
                Fault.LOST_DISK,
                Fault.FULL_DISK,
                Fault.FAILED_SYNC,
                Fault.LEADERSHIP_TRANSFER),
        DISKS_AND_POWER_FIVE_AUTOMATIC_MEMBERS(
                5, Fault.DISKS_AND_POWER, Fault.LOST_DISK, Fault.FREEZE, Fault.LOSS),
        DISKS_AND_POWER_FIVE_AUTOMATIC_MEMBERS_MIXED(
                5,
                Fault.DISKS_AND_POWER,
                Fault.LOST_DISK,
                Fault.ISOLATE,
                Fault.FULL_DISK,
                Fault.FAILED_SYNC,
                Fault.LEADERSHIP_TRANSFER),
        AUTOMATIC_MEMBERS(3, Fault.LOST_DISK, Fault.RESTART),
        AUTOMATIC_MEMBERS_CUTS(3, Fault.CUT, Fault.ONE_WAY_CUT, Fault.FREEZE, Fault.LOSS),
        AUTOMATIC_MEMBERS_MIXED(
                3,
                Fault.LOST_DISK,
                Fault.ISOLATE,
                Fault.FREEZE,
                Fault.FAILED_SYNC,
                Fault.LEADERSHIP_TRANSFER),
        MIXED(
                Fault.LOSS,
                Fault.CUT,
                Fault.ONE_WAY_CUT,
                Fault.FREEZE,
                Fault.RESTART,
                Fault.FAILED_SYNC,
                Fault.LOST_DISK,
                Fault.MEMBER_CHANGE,
                Fault.LEADERSHIP_TRANSFER);

        private final Set<Fault> mFaults;

        /** Number of voters under the automatic policy, 0 under the manual one. */
        private final int mTargetVoters;

        Row(Fault... faults) {
            this(0, faults);
        }

        Row(int targetVoters, Fault... faults) {
            mTargetVoters = targetVoters;
            mFaults = EnumSet.copyOf(List.of(faults));
        }

        int seeds() {
            return mFaults.contains(Fault.DISKS_AND_POWER) ? POWER_LOSS_SEEDS : SEEDS;
        }
    }

    @ParameterizedTest
    @EnumSource
    void run_seededFaults_keepsEveryInvariant(Row row) {
        AtomicLong acknowledged = new AtomicLong();
        List<String> failures =
                IntStream.range(FIRST_SEED, FIRST_SEED + row.seeds())
                        .parallel()
                        .mapToObj(seed -> failureOf(row, seed, acknowledged))
                        .flatMap(Optional::stream)
                        .sorted()
                        .toList();
        assertThat(failures.size() + " of " + row.seeds() + " seeds", failures, empty());
        assertThat(acknowledged.get(), greaterThan(20L * row.seeds()));
    }

    private static Optional<String> failureOf(Row row, int seed, AtomicLong acknowledged) {
        try {
            Schedule schedule = new Schedule(row, seed);
            schedule.run();
            acknowledged.addAndGet(schedule.mGroup.acknowledged());
            return Optional.empty();
        } catch (AssertionError | RuntimeException e) {
            return Optional.of("seed " + seed + ": " + e);
        }
    }

    /** A seeded schedule of faults. */
    private static final class Schedule {
        private final Set<Fault> mFaults;
        private final int mTargetVoters;
        private final Random mRandom;
        private final SimulatedGroup mGroup;
        private final int mStepsPerCall;
        private long mCalls;
        private int mStepsUntilPowerLoss = NEVER;

        Schedule(Row row, int seed) {
            mFaults = row.mFaults;
            mTargetVoters = row.mTargetVoters;
            mRandom = new Random(seed * 7_919L);
            mStepsPerCall = STEPS_PER_CALL[mRandom.nextInt(STEPS_PER_CALL.length)];
            if (mTargetVoters > 0) {
                VoterPolicy policy = new VoterPolicy(mTargetVoters, SILENCE_TIMEOUT);
                mGroup = new SimulatedGroup(SEED_STORES, mTargetVoters + 1, mRandom, policy);
                return;
            }
            int stores = mRandom.nextBoolean() ? 3 : 5;
            int seedStores = mFaults.contains(Fault.MEMBER_CHANGE) ? 3 : stores;
            mGroup = new SimulatedGroup(seedStores, stores, mRandom);
        }

        void run() {
            mGroup.startAll();
            while (mGroup.now() < RUN_MILLIS) {
                callLeaders();
                injectFaults();
                mGroup.step();
            }
            mGroup.healAndVerify();
        }

        private void callLeaders() {
            for (SimulatedStore store : mGroup.stores()) {
                boolean isLeading =
                        store.isRunning(mGroup.now())
                                && store.core().get().role() == LogRole.LEADER;
                if (isLeading && mRandom.nextInt(mStepsPerCall) == 0) {
                    store.propose(mCalls++, mGroup.now());
                }
                if (isLeading && mRandom.nextInt(mStepsPerCall) == 0) {
                    store.read(mCalls++, mGroup.acknowledged(), mGroup.now());
                }
            }
        }

        private void injectFaults() {
            restartRandomStores();
            if (mStepsUntilPowerLoss != NEVER && mStepsUntilPowerLoss-- == 0) {
                loseDisksAndPower();
            }
            if (mRandom.nextInt(40) == 0) {
                mGroup.healNetwork();
            }
            for (Fault fault : mFaults) {
                if (mRandom.nextInt(60) == 0) {
                    inject(fault);
                }
            }
        }

        private void restartRandomStores() {
            for (SimulatedStore store : mGroup.stores()) {
                if (store.isStopped() && mRandom.nextInt(30) == 0) {
                    endOrReopen(store);
                }
                if (mRandom.nextInt(30) == 0) {
                    store.folder().fill(false);
                }
                if (store.core().isEmpty() && mRandom.nextInt(20) == 0) {
                    mGroup.start(store.vm());
                }
            }
        }

        private void endOrReopen(SimulatedStore store) {
            switch (mRandom.nextInt(3)) {
                case 0 -> store.kill();
                case 1 -> store.killProcess();
                default -> mGroup.reopen(store.vm());
            }
        }

        private void inject(Fault fault) {
            SimulatedStore store = anyStore();
            switch (fault) {
                case LOSS ->
                        mGroup.setNetworkFaults(
                                mRandom.nextDouble() * 0.4,
                                mRandom.nextDouble() * 0.3,
                                1 + mRandom.nextInt(200));
                case CUT -> {
                    String other = anyStore().vm();
                    mGroup.cut(store.vm(), other);
                    mGroup.cut(other, store.vm());
                }
                case ONE_WAY_CUT -> mGroup.cut(store.vm(), anyStore().vm());
                case ISOLATE -> isolate(leaderOr(store));
                case FREEZE -> leaderOr(store).freeze(mGroup.now() + mRandom.nextInt(1_500));
                case SUSPEND ->
                        leaderOr(store)
                                .suspend(mGroup.now(), mGroup.now() + 1 + mRandom.nextInt(3_000));
                case RESTART -> leaderOr(store).folder().crashAfterSyncs(mRandom.nextInt(4));
                case FAILED_SYNC -> leaderOr(store).folder().failAfterSyncs(mRandom.nextInt(4));
                case FULL_DISK -> leaderOr(store).folder().fill(true);
                case LOST_DISK -> loseDiskIfRepaired(leaderOr(store));
                case DISKS_AND_POWER -> planLossOfDisksAndPower();
                case MEMBER_CHANGE -> changeMembers();
                case LEADERSHIP_TRANSFER -> transferLeadershipTo(store.vm());
                default -> throw new AssertionError(fault);
            }
        }

        /** Cuts the links of a store to all others, from all others, or both. */
        private void isolate(SimulatedStore store) {
            int directions = 1 + mRandom.nextInt(3);
            for (SimulatedStore other : mGroup.stores()) {
                if ((directions & 1) != 0) {
                    mGroup.cut(store.vm(), other.vm());
                }
                if ((directions & 2) != 0) {
                    mGroup.cut(other.vm(), store.vm());
                }
            }
        }

        private void transferLeadershipTo(String vm) {
            Optional<SimulatedStore> leader = mGroup.leader();
            if (leader.isPresent()) {
                leader.get()
                        .core()
                        .get()
                        .transferLeadershipTo(vm, leader.get().clock(mGroup.now()));
            }
        }

        private SimulatedStore anyStore() {
            return mGroup.stores().get(mRandom.nextInt(mGroup.stores().size()));
        }

        private SimulatedStore leaderOr(SimulatedStore other) {
            return mRandom.nextBoolean() ? mGroup.leader().orElse(other) : other;
        }

        /**
         * Plans a loss of disks and power right after an acknowledgement, an applied entry or an
         * installed snapshot, some steps after a proposal, or now.
         */
        private void planLossOfDisksAndPower() {
            switch (mRandom.nextInt(5)) {
                case 0 ->
                        mGroup.planFault(
                                SimulatedGroup.Moment.ACKNOWLEDGED, this::loseDisksAndPower);
                case 1 -> mGroup.planFault(SimulatedGroup.Moment.APPLIED, this::loseDisksAndPower);
                case 2 ->
                        mGroup.planFault(SimulatedGroup.Moment.INSTALLED, this::loseDisksAndPower);
                case 3 -> {
                    mGroup.leader().ifPresent(store -> store.propose(mCalls++, mGroup.now()));
                    mStepsUntilPowerLoss = mRandom.nextInt(5);
                }
                default -> loseDisksAndPower();
            }
        }

        private void loseDisksAndPower() {
            mStepsUntilPowerLoss = NEVER;
            List<SimulatedStore> stores = new ArrayList<>(mGroup.stores());
            Collections.shuffle(stores, mRandom);
            SimulatedStore first = leaderOr(stores.get(0));
            stores.remove(first);
            stores.add(0, first);
            int disks = mRandom.nextInt(4) == 0 ? 0 : toleratedDiskLosses();
            stores.subList(0, disks).forEach(SimulatedStore::loseDisk);
            boolean doAllLosePower = mRandom.nextInt(4) != 0;
            for (SimulatedStore store : stores.subList(disks, stores.size())) {
                if (doAllLosePower || mRandom.nextInt(3) == 0) {
                    losePower(store);
                } else if (mRandom.nextBoolean()) {
                    store.killProcess();
                }
            }
            if (mRandom.nextBoolean()) {
                mGroup.dropMessages();
            }
        }

        private void losePower(SimulatedStore store) {
            if (mRandom.nextBoolean()) {
                mGroup.cutPowerDuringStep(store.vm(), mRandom.nextInt(3));
            } else {
                store.kill();
            }
        }

        /** Loses a disk, unless an earlier loss is not repaired yet. */
        private void loseDiskIfRepaired(SimulatedStore store) {
            if (toleratedDiskLosses() > 0) {
                store.loseDisk();
            }
        }

        /** Returns how many disks may be lost at once: none until earlier losses are repaired. */
        private int toleratedDiskLosses() {
            if (!mFaults.contains(Fault.DISKS_AND_POWER)) {
                return isRepaired(mGroup.members()) ? 1 : 0;
            }
            Optional<Membership> members = membersOfLeader().filter(this::isRepaired);
            if (members.isEmpty()) {
                return 0;
            }
            long rejoining = mGroup.stores().stream().filter(SimulatedStore::isRejoining).count();
            int tolerated =
                    mFaults.contains(Fault.MEMBER_CHANGE)
                            ? 1
                            : (members.get().voters().size() - 1) / 2;
            return Math.max(0, tolerated - (int) rejoining);
        }

        private boolean isRepaired(Membership members) {
            return members.voters().size() >= 3
                    && mGroup.stores().stream().noneMatch(this::isChangingMembers)
                    && membersToRepair(members).stream().allMatch(this::isVoterWithItsDisk);
        }

        /** Returns the members as of a leader with a lease, which knows of all changes of them. */
        private Optional<Membership> membersOfLeader() {
            return mGroup.stores().stream()
                    .filter(store -> store.holdsLease(mGroup.now()))
                    .flatMap(store -> store.core().stream())
                    .findFirst()
                    .map(LogCore::members);
        }

        /**
         * Returns the members that must be voters with their disks; under the automatic policy a
         * spare store may stay a learner.
         */
        private List<Member> membersToRepair(Membership members) {
            return mTargetVoters > 0 ? members.voters() : members.members();
        }

        private boolean isChangingMembers(SimulatedStore store) {
            return store.core()
                    .filter(core -> core.log().membersIndex() > core.log().commitIndex())
                    .isPresent();
        }

        private boolean isVoterWithItsDisk(Member member) {
            Optional<StoreId> joinedAs = mGroup.store(member.id().vm()).joinedAs();
            return member.isVoter() && joinedAs.equals(Optional.of(member.id()));
        }

        private void changeMembers() {
            Optional<SimulatedStore> leader = mGroup.leader();
            if (leader.isEmpty()) {
                return;
            }
            LogCore core = leader.get().core().get();
            SimulatedStore store = anyStore();
            if (core.members().byVm(store.vm()).isPresent()) {
                if (core.members().members().size() > 3) {
                    core.removeMember(store.vm(), leader.get().clock(mGroup.now()));
                }
            } else if (mGroup.members().byVm(store.vm()).isEmpty()) {
                core.addMember(store.vm(), "127.20.0.1:1", leader.get().clock(mGroup.now()));
            }
        }
    }
}
