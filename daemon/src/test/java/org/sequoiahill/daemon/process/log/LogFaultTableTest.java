package org.sequoiahill.daemon.process.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.time.Duration;
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
    private static final int FIRST_SEED = Integer.getInteger("log.seed", 1);
    private static final int[] STEPS_PER_CALL = {2, 3, 50, 150};
    private static final int RUN_MILLIS = 5_000;
    private static final int VOTERS = 3;
    private static final VoterPolicy AUTOMATIC = new VoterPolicy(VOTERS, Duration.ofMillis(600));

    private enum Fault {
        LOSS,
        CUT,
        ONE_WAY_CUT,
        ISOLATE,
        FREEZE,
        SUSPEND,
        RESTART,
        FAILED_SYNC,
        LOST_DISK,
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
        LOST_DISKS(Fault.LOST_DISK, Fault.LOSS),
        LOST_DISKS_AND_CUTS(Fault.LOST_DISK, Fault.CUT, Fault.FREEZE),
        MEMBER_CHANGES_DURING_ELECTIONS(Fault.MEMBER_CHANGE, Fault.CUT, Fault.LEADERSHIP_TRANSFER),
        LEADERSHIP_TRANSFERS(Fault.LEADERSHIP_TRANSFER, Fault.FREEZE, Fault.LOSS),
        AUTOMATIC_MEMBERS(true, Fault.LOST_DISK, Fault.RESTART),
        AUTOMATIC_MEMBERS_CUTS(true, Fault.CUT, Fault.ONE_WAY_CUT, Fault.FREEZE, Fault.LOSS),
        AUTOMATIC_MEMBERS_MIXED(
                true,
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
        private final boolean mIsAutomatic;

        Row(Fault... faults) {
            this(false, faults);
        }

        Row(boolean isAutomatic, Fault... faults) {
            mIsAutomatic = isAutomatic;
            mFaults = EnumSet.copyOf(List.of(faults));
        }
    }

    @ParameterizedTest
    @EnumSource
    void run_seededFaults_keepsEveryInvariant(Row row) {
        AtomicLong acknowledged = new AtomicLong();
        List<String> failures =
                IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                        .parallel()
                        .mapToObj(seed -> failureOf(row, seed, acknowledged))
                        .flatMap(Optional::stream)
                        .sorted()
                        .toList();
        assertThat(failures.size() + " of " + SEEDS + " seeds", failures, empty());
        assertThat(acknowledged.get(), greaterThan(20L * SEEDS));
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
        private final boolean mIsAutomatic;
        private final Random mRandom;
        private final SimulatedGroup mGroup;
        private final int mStepsPerCall;
        private long mCalls;

        Schedule(Row row, int seed) {
            mFaults = row.mFaults;
            mIsAutomatic = row.mIsAutomatic;
            mRandom = new Random(seed * 7_919L);
            mStepsPerCall = STEPS_PER_CALL[mRandom.nextInt(STEPS_PER_CALL.length)];
            if (mIsAutomatic) {
                mGroup = new SimulatedGroup(VOTERS, VOTERS + 1, mRandom, AUTOMATIC);
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
                boolean isStopped =
                        store.core().filter(core -> core.role() == LogRole.STOPPED).isPresent();
                if (isStopped && mRandom.nextInt(30) == 0) {
                    store.kill();
                }
                if (store.core().isEmpty() && mRandom.nextInt(20) == 0) {
                    mGroup.start(store.vm());
                }
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
                case LOST_DISK -> loseDiskIfRepaired(leaderOr(store));
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

        /** Loses a disk, unless an earlier loss is not repaired yet. */
        private void loseDiskIfRepaired(SimulatedStore store) {
            Membership members = mGroup.members();
            boolean isRepaired =
                    members.voters().size() >= 3
                            && mGroup.stores().stream().noneMatch(this::isChangingMembers)
                            && membersToRepair(members).stream().allMatch(this::isVoterWithItsDisk);
            if (isRepaired) {
                store.loseDisk();
            }
        }

        /**
         * Returns the members that must be voters with their disks; under the automatic policy a
         * spare store may stay a learner.
         */
        private List<Member> membersToRepair(Membership members) {
            return mIsAutomatic ? members.voters() : members.members();
        }

        private boolean isChangingMembers(SimulatedStore store) {
            return store.core()
                    .filter(core -> core.log().membersIndex() > core.log().commitIndex())
                    .isPresent();
        }

        private boolean isVoterWithItsDisk(Member member) {
            Optional<LogCore> core = mGroup.store(member.id().vm()).core();
            return member.isVoter()
                    && core.isPresent()
                    && core.get().self().equals(member.id())
                    && !core.get().log().isUninitialised();
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
