package org.sequoiahill.daemon.process.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * A group of stores on a simulated, faulty network; checks the invariants of the log at every step.
 */
final class SimulatedGroup implements SimulatedStore.Observer {
    static final int STEP_MILLIS = 10;

    private final RandomGenerator mRandom;
    private final Map<String, SimulatedStore> mStores = new LinkedHashMap<>();
    private final PriorityQueue<Delivery> mNetwork =
            new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    private final Set<String> mCutLinks = new HashSet<>();
    private final Map<Long, StoreId> mLeaders = new HashMap<>();
    private final Map<Long, Long> mCommittedTerms = new HashMap<>();
    private final Map<Long, Long> mDigests = new HashMap<>();

    /** Lowest term that a store was in when it applied an entry, by the index of the entry. */
    private final Map<Long, Long> mCommitLeaderTerms = new HashMap<>();

    private long mNow;
    private long mAcknowledged;
    private long mHighestCommitted;
    private double mLoss;
    private double mDuplication;
    private int mMaxDelayMillis = 5;
    private Optional<Moment> mPlannedMoment = Optional.empty();
    private Runnable mPlannedFault = () -> {};
    private boolean mIsFaultDue;

    /** An event of a store, right after which a planned fault happens. */
    enum Moment {
        ACKNOWLEDGED,
        APPLIED,
        INSTALLED
    }

    SimulatedGroup(int seedStores, int stores, RandomGenerator random) {
        this(seedStores, stores, random, VoterPolicy.manual());
    }

    SimulatedGroup(int seedStores, int stores, RandomGenerator random, VoterPolicy policy) {
        mRandom = random;
        List<Member> members = SimulatedStore.seeds(stores);
        for (Member member : members) {
            String vm = member.id().vm();
            mStores.put(vm, new SimulatedStore(vm, members.subList(0, seedStores), random, policy));
        }
    }

    private record Delivery(long at, Message message) {}

    long now() {
        return mNow;
    }

    long acknowledged() {
        return mAcknowledged;
    }

    List<SimulatedStore> stores() {
        return List.copyOf(mStores.values());
    }

    SimulatedStore store(String vm) {
        return mStores.get(vm);
    }

    void setNetworkFaults(double loss, double duplication, int maxDelayMillis) {
        mLoss = loss;
        mDuplication = duplication;
        mMaxDelayMillis = maxDelayMillis;
    }

    void cut(String from, String to) {
        mCutLinks.add(from + ">" + to);
    }

    void healNetwork() {
        mCutLinks.clear();
        setNetworkFaults(0, 0, 5);
    }

    void start(String vm) {
        try {
            mStores.get(vm).start(mNow);
        } catch (MemoryFolder.Crash e) {
            mStores.get(vm).kill();
        } catch (IOException e) {
            if (String.valueOf(e.getMessage()).startsWith(MemoryFolder.INJECTED)) {
                mStores.get(vm).kill();
                return;
            }
            throw new AssertionError(vm + " can't start at " + mNow + " ms", e);
        }
    }

    void startAll() {
        for (SimulatedStore store : stores()) {
            if (store.core().isEmpty()) {
                start(store.vm());
            }
        }
    }

    /** Opens the folder of a stopped store again; the store stays stopped if that fails. */
    void reopen(String vm) {
        try {
            mStores.get(vm).reopen(mNow);
        } catch (MemoryFolder.Crash e) {
            mStores.get(vm).kill();
        } catch (IOException e) {
            if (!String.valueOf(e.getMessage()).startsWith(MemoryFolder.INJECTED)) {
                throw new AssertionError(vm + " can't be reopened at " + mNow + " ms", e);
            }
        }
    }

    /** Plans a fault right after the next event of a kind, before any other store runs. */
    void planFault(Moment moment, Runnable fault) {
        mPlannedMoment = Optional.of(moment);
        mPlannedFault = fault;
    }

    /** Cuts the power of a store while it stores what the messages on their way to it cause. */
    void cutPowerDuringStep(String vm, int syncs) {
        SimulatedStore store = mStores.get(vm);
        if (store.isRunning(mNow) && !store.isStopped()) {
            List<Message> messages =
                    mNetwork.stream()
                            .map(Delivery::message)
                            .filter(message -> message.to().vm().equals(vm))
                            .toList();
            store.folder().crashAfterSyncs(syncs);
            store.step(messages, mNow, this);
        }
        store.kill();
    }

    /** Drops all messages on their way. */
    void dropMessages() {
        mNetwork.clear();
    }

    Optional<SimulatedStore> leader() {
        return stores().stream()
                .filter(store -> store.isRunning(mNow))
                .filter(store -> store.core().orElseThrow().role() == LogRole.LEADER)
                .max((a, b) -> Long.compare(a.core().get().term(), b.core().get().term()));
    }

    /** Returns the members known to the store that has applied the most entries. */
    Membership members() {
        return stores().stream()
                .filter(store -> store.core().isPresent())
                .max((a, b) -> Long.compare(a.appliedIndex(), b.appliedIndex()))
                .map(store -> store.core().get().log().membersAt(store.appliedIndex()))
                .orElse(Membership.NONE);
    }

    void run(int millis) {
        long end = mNow + millis;
        while (mNow < end) {
            step();
        }
    }

    /** Advances the time by a step, and runs the stores in a random rotation. */
    void step() {
        mNow += STEP_MILLIS;
        Map<String, List<Message>> due = new HashMap<>();
        List<Delivery> frozen = new ArrayList<>();
        while (!mNetwork.isEmpty() && mNetwork.peek().at() <= mNow) {
            Delivery delivery = mNetwork.poll();
            SimulatedStore store = mStores.get(delivery.message().to().vm());
            if (store.core().isPresent() && !store.isRunning(mNow)) {
                frozen.add(new Delivery(mNow + STEP_MILLIS, delivery.message()));
            } else if (store.core().isPresent()) {
                due.computeIfAbsent(store.vm(), vm -> new ArrayList<>()).add(delivery.message());
            }
        }
        mNetwork.addAll(frozen);
        List<SimulatedStore> order = new ArrayList<>(mStores.values());
        Collections.rotate(order, mRandom.nextInt(order.size()));
        for (SimulatedStore store : order) {
            if (store.isRunning(mNow)) {
                send(store.step(due.getOrDefault(store.vm(), List.of()), mNow, this));
                check(store);
                if (mIsFaultDue) {
                    mIsFaultDue = false;
                    mPlannedFault.run();
                    return;
                }
            }
        }
    }

    private void reached(Moment moment) {
        if (mPlannedMoment.equals(Optional.of(moment))) {
            mPlannedMoment = Optional.empty();
            mIsFaultDue = true;
        }
    }

    @Override
    public void committed(SimulatedStore store, Entry entry, long digest) {
        reached(Moment.APPLIED);
        Long term = mCommittedTerms.putIfAbsent(entry.index(), entry.term());
        verify(term == null || term == entry.term(), store, "changed entry " + entry.index());
        applied(store, entry.index(), digest);
        mHighestCommitted = Math.max(mHighestCommitted, entry.index());
        mCommitLeaderTerms.merge(
                entry.index(), store.core().orElseThrow().term(), (a, b) -> Math.min(a, b));
    }

    @Override
    public void installed(SimulatedStore store, long index, long digest) {
        reached(Moment.INSTALLED);
        applied(store, index, digest);
    }

    @Override
    public void acknowledged(long index) {
        reached(Moment.ACKNOWLEDGED);
        mAcknowledged = Math.max(mAcknowledged, index);
    }

    @Override
    public void readAnswered(SimulatedStore store, long acknowledgedBefore) {
        verify(
                store.appliedIndex() >= acknowledgedBefore,
                store,
                "read at index "
                        + store.appliedIndex()
                        + " misses acknowledged "
                        + acknowledgedBefore);
    }

    /** Ends all faults, and checks that the group commits again and all voters catch up. */
    void healAndVerify() {
        mPlannedMoment = Optional.empty();
        mIsFaultDue = false;
        healNetwork();
        for (SimulatedStore store : stores()) {
            store.freeze(0);
            store.folder().fill(false);
            if (store.isStopped()) {
                store.kill();
            }
            store.folder().killed();
        }
        startAll();
        long before = mAcknowledged;
        long deadline = mNow + 20_000;
        while (mNow < deadline && !(mAcknowledged > before && areVotersCaughtUp())) {
            leader().filter(store -> mNow % 200 == 0).ifPresent(store -> store.propose(1, mNow));
            step();
        }
        verify(mAcknowledged > before, stores().get(0), "no commit after all faults ended");
        verify(
                areVotersCaughtUp(),
                stores().get(0),
                "a voter has not caught up after all faults ended");
    }

    private boolean areVotersCaughtUp() {
        for (Member member : members().voters()) {
            SimulatedStore store = mStores.get(member.id().vm());
            if (store.appliedIndex() < mAcknowledged) {
                return false;
            }
        }
        return !members().voters().isEmpty();
    }

    private void applied(SimulatedStore store, long index, long digest) {
        Long known = mDigests.putIfAbsent(index, digest);
        verify(known == null || known == digest, store, "different state at " + index);
    }

    private void send(List<Message> messages) {
        for (Message message : messages) {
            String link = message.from().vm() + ">" + message.to().vm();
            if (mCutLinks.contains(link) || !mStores.containsKey(message.to().vm())) {
                continue;
            }
            int copies = mRandom.nextDouble() < mDuplication ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                if (mRandom.nextDouble() >= mLoss) {
                    long delay = 1 + mRandom.nextInt(mMaxDelayMillis);
                    mNetwork.add(new Delivery(mNow + delay, message));
                }
            }
        }
    }

    private void check(SimulatedStore store) {
        if (store.core().isEmpty()) {
            return;
        }
        LogCore core = store.core().get();
        if (core.role() == LogRole.LEADER) {
            StoreId known = mLeaders.putIfAbsent(core.term(), core.self());
            verify(known == null || known.equals(core.self()), store, "two leaders in one term");
            if (known == null) {
                checkHoldsCommitted(store, core);
            }
        }
        // The clock of a suspended VM stops, so its lease may look valid after it has expired;
        // reads rely on acknowledgements instead.
        long leases =
                stores().stream()
                        .filter(other -> !other.wasSuspended())
                        .filter(other -> other.holdsLease(mNow))
                        .count();
        verify(leases <= 1, store, "two leases at once");
    }

    private void checkHoldsCommitted(SimulatedStore store, LogCore core) {
        for (long index = mHighestCommitted; index > mHighestCommitted - 16; index--) {
            Long leaderTerm = mCommitLeaderTerms.get(index);
            if (leaderTerm == null || leaderTerm >= core.term()) {
                continue;
            }
            long term = core.log().termAt(index);
            boolean isCovered = index <= core.log().snapshot().index();
            verify(
                    isCovered || term == mCommittedTerms.get(index),
                    store,
                    "a leader lacks committed entry " + index);
        }
    }

    private void verify(boolean isHeld, SimulatedStore store, String violation) {
        if (!isHeld) {
            throw new AssertionError(
                    violation
                            + ", seen at "
                            + store.vm()
                            + " at "
                            + mNow
                            + " ms, acknowledged "
                            + mAcknowledged
                            + ", in "
                            + describe());
        }
    }

    private List<String> describe() {
        return stores().stream()
                .map(
                        store ->
                                store.vm()
                                        + store.core()
                                                .map(SimulatedGroup::describe)
                                                .orElse(" is down"))
                .toList();
    }

    private static String describe(LogCore core) {
        return String.format(
                " %s term %d last %d commit %d %s",
                core.role(),
                core.term(),
                core.log().lastIndex(),
                core.log().commitIndex(),
                core.members().members().stream()
                        .map(member -> member.id() + (member.isVoter() ? " votes" : ""))
                        .toList());
    }
}
