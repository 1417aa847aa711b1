package org.sequoiahill.daemon.process.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** A store of a simulated group: its folder, and its core while the process runs. */
final class SimulatedStore {
    static final LogTiming TIMING =
            new LogTiming(Duration.ofMillis(50), Duration.ofMillis(150), Duration.ofMillis(300));
    private static final int SNAPSHOT_INTERVAL = 24;
    private static final int RETAINED_ENTRIES = 6;
    private static final int SNAPSHOT_BYTES = 2 * Long.BYTES;

    private final String mVm;
    private final List<Member> mSeeds;
    private final RandomGenerator mRandom;
    private final double mClockRate;
    private final Map<Long, Long> mProposals = new HashMap<>();
    private final Map<Long, Long> mReads = new HashMap<>();
    private final VoterPolicy mVoterPolicy;
    private boolean mIsBootstrapForbidden;
    private boolean mHasLostDisk;
    private MemoryFolder mFolder;
    private Optional<LogCore> mCore = Optional.empty();
    private LogStorage mStorage;
    private Optional<StoreId> mJoinedAs = Optional.empty();
    private long mNextIncarnation = 1;
    private long mFrozenUntil;
    private long mSuspendedMillis;
    private long mAppliedIndex;
    private long mDigest;

    SimulatedStore(String vm, List<Member> seeds, RandomGenerator random, VoterPolicy policy) {
        mVm = vm;
        mSeeds = seeds;
        mVoterPolicy = policy;
        mRandom = random;
        mClockRate = 0.98 + 0.04 * random.nextDouble();
        mFolder = new MemoryFolder(random);
    }

    /** Receives the events that the invariants are checked against. */
    interface Observer {
        void committed(SimulatedStore store, Entry entry, long digest);

        void installed(SimulatedStore store, long index, long digest);

        void acknowledged(long index);

        void readAnswered(SimulatedStore store, long acknowledgedBefore);
    }

    String vm() {
        return mVm;
    }

    MemoryFolder folder() {
        return mFolder;
    }

    void folder(MemoryFolder folder) {
        mFolder = folder;
    }

    Optional<LogCore> core() {
        return mCore;
    }

    boolean isRunning(long now) {
        return mCore.isPresent() && now >= mFrozenUntil;
    }

    void freeze(long until) {
        mFrozenUntil = until;
    }

    /** Suspends the VM, so that its monotonic clock stops as well. */
    void suspend(long now, long until) {
        mFrozenUntil = until;
        mSuspendedMillis += until - now;
    }

    /** Returns whether the VM of this store has ever been suspended. */
    boolean wasSuspended() {
        return mSuspendedMillis > 0;
    }

    long appliedIndex() {
        return mAppliedIndex;
    }

    long digest() {
        return mDigest;
    }

    Duration clock(long now) {
        return Duration.ofNanos((long) ((now - mSuspendedMillis) * 1_000_000 * mClockRate));
    }

    boolean holdsLease(long now) {
        return mCore.flatMap(LogCore::leaseUntil)
                .filter(until -> until.compareTo(clock(now)) > 0)
                .isPresent();
    }

    void start(long now) throws IOException {
        mStorage = LogStorage.open(mFolder, mVm, "test", mNextIncarnation++);
        StoredState stored = mStorage.state();
        Message.Start start =
                new Message.Start(
                        mStorage.openCount(),
                        mRandom.nextLong(),
                        stored.hardState().term(),
                        stored.lastIndex());
        LocalStore local =
                new LocalStore(
                        mStorage.id(),
                        "127.20.0.1:1",
                        start,
                        mSeeds,
                        !mIsBootstrapForbidden,
                        mVoterPolicy);
        mCore = Optional.of(LogCore.open(local, stored, TIMING, mRandom, clock(now)));
        restore(stored.snapshot());
        mFrozenUntil = 0;
    }

    /** Cuts the power; the folder loses a random part of what was not synced. */
    void kill() {
        endProcess();
        mFolder.crash();
    }

    /** Kills the process; the folder keeps what was written. */
    void killProcess() {
        endProcess();
        mFolder.killed();
    }

    private void endProcess() {
        mCore = Optional.empty();
        mProposals.clear();
        mReads.clear();
    }

    /** Opens the folder of a stopped core again, in the same process. */
    void reopen(long now) throws IOException {
        mFolder.killed();
        mProposals.clear();
        mReads.clear();
        start(now);
    }

    boolean isStopped() {
        return mCore.filter(core -> core.role() == LogRole.STOPPED).isPresent();
    }

    void loseDisk() {
        kill();
        // Under the automatic policy a store that lost its disk must not bootstrap; under the
        // manual one it may.
        mIsBootstrapForbidden = mVoterPolicy.isAutomatic();
        mFolder = new MemoryFolder(mRandom);
        mJoinedAs = Optional.empty();
        mHasLostDisk = true;
    }

    /** Returns whether this store has lost its disk and has not joined the group again. */
    boolean isRejoining() {
        return mHasLostDisk && mJoinedAs.isEmpty();
    }

    /** Returns as which member the disk of this store belongs to the group, if it does. */
    Optional<StoreId> joinedAs() {
        return mJoinedAs;
    }

    void propose(long payload, long now) {
        ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES).putLong(payload).flip();
        Proposal proposal = mCore.orElseThrow().propose(bytes, clock(now));
        if (proposal.refusal().isEmpty()) {
            mProposals.put(proposal.index(), proposal.term());
        }
    }

    void read(long id, long acknowledged, long now) {
        mReads.put(id, acknowledged);
        mCore.orElseThrow().requestRead(id, clock(now));
    }

    /** Delivers messages to the core, carries out its outputs, and returns the messages to send. */
    List<Message> step(List<Message> messages, long now, Observer observer) {
        LogCore core = mCore.orElseThrow();
        core.tick(clock(now));
        messages.forEach(message -> core.receive(message, clock(now)));
        Outputs outputs = core.drain();
        try {
            mStorage.store(outputs);
        } catch (IOException e) {
            core.stop();
            mProposals.clear();
            return List.of();
        } catch (MemoryFolder.Crash e) {
            kill();
            return List.of();
        }
        if (!core.log().isUninitialised()) {
            mJoinedAs = Optional.of(core.self());
        }
        outputs.installedSnapshot().ifPresent(snapshot -> install(snapshot, observer));
        outputs.committed().forEach(entry -> apply(entry, observer));
        outputs.readyReads().forEach(id -> observer.readAnswered(this, mReads.remove(id)));
        outputs.failedReads().forEach(mReads::remove);
        if (core.role() != LogRole.LEADER) {
            mProposals.clear();
        }
        compactIfDue(core);
        return outputs.messages();
    }

    private void install(Snapshot snapshot, Observer observer) {
        restore(snapshot);
        observer.installed(this, mAppliedIndex, mDigest);
    }

    private void restore(Snapshot snapshot) {
        mAppliedIndex = snapshot.index();
        mDigest = 0;
        if (snapshot.data().hasRemaining()) {
            ByteBuffer data = snapshot.data().duplicate();
            mAppliedIndex = data.getLong();
            mDigest = data.getLong();
        }
    }

    private void apply(Entry entry, Observer observer) {
        if (entry.index() != mAppliedIndex + 1) {
            throw new AssertionError(entry.index() + " applied after " + mAppliedIndex);
        }
        mAppliedIndex = entry.index();
        mDigest = 31 * mDigest + entry.term() + entry.payload().hashCode();
        observer.committed(this, entry, mDigest);
        Long term = mProposals.remove(entry.index());
        if (term != null && term == entry.term()) {
            observer.acknowledged(entry.index());
        }
    }

    private void compactIfDue(LogCore core) {
        if (mCore.isEmpty() || mAppliedIndex - core.log().snapshot().index() < SNAPSHOT_INTERVAL) {
            return;
        }
        ByteBuffer data = ByteBuffer.allocate(SNAPSHOT_BYTES);
        data.putLong(mAppliedIndex).putLong(mDigest).flip();
        Snapshot snapshot = core.compact(mAppliedIndex, data, RETAINED_ENTRIES);
        EntryLog log = core.log();
        try {
            mStorage.compact(snapshot, log.baseIndex(), log.baseTerm(), List.copyOf(log.entries()));
        } catch (IOException e) {
            core.stop();
        } catch (MemoryFolder.Crash e) {
            kill();
        }
    }

    static List<Member> seeds(int count) {
        List<Member> seeds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            seeds.add(new Member(new StoreId("store-" + i, 0), "127.20.0.1:1", true));
        }
        return seeds;
    }
}
