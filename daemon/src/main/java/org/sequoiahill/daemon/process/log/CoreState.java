package org.sequoiahill.daemon.process.log;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Mutable state shared by {@link LogCore} and its collaborators, and the outputs collected since
 * the last drain.
 */
final class CoreState {
    private final LocalStore mLocal;
    private final LogTiming mTiming;
    private final RandomGenerator mRandom;
    private final EntryLog mLog;
    private final List<Message> mMessages = new ArrayList<>();
    private final List<Entry> mAppended = new ArrayList<>();
    private final List<Long> mReadyReads = new ArrayList<>();
    private final List<Long> mFailedReads = new ArrayList<>();
    private StoreId mSelf;
    private HardState mHardState;
    private boolean mIsHardStateChanged;
    private Optional<Snapshot> mInstalledSnapshot = Optional.empty();
    private Optional<Long> mAdoptedIncarnation = Optional.empty();
    private long mAppliedIndex;
    private LogRole mRole = LogRole.FOLLOWER;
    private Optional<StoreId> mLeader = Optional.empty();
    private Duration mNow;

    private CoreState(
            LocalStore local,
            StoredState stored,
            LogTiming timing,
            RandomGenerator random,
            Duration now) {
        mLocal = local;
        mSelf = local.id();
        mTiming = timing;
        mRandom = random;
        mLog = EntryLog.of(stored);
        mHardState = stored.hardState();
        mAppliedIndex = stored.snapshot().index();
        mNow = now;
    }

    static CoreState of(
            LocalStore local,
            StoredState stored,
            LogTiming timing,
            RandomGenerator random,
            Duration now) {
        return new CoreState(local, stored, timing, random, now);
    }

    LocalStore local() {
        return mLocal;
    }

    StoreId self() {
        return mSelf;
    }

    LogTiming timing() {
        return mTiming;
    }

    EntryLog log() {
        return mLog;
    }

    Duration now() {
        return mNow;
    }

    void advanceTo(Duration now) {
        mNow = now.compareTo(mNow) > 0 ? now : mNow;
    }

    LogRole role() {
        return mRole;
    }

    void changeRole(LogRole role) {
        mRole = role;
    }

    Optional<StoreId> leader() {
        return mLeader;
    }

    void changeLeader(Optional<StoreId> leader) {
        mLeader = leader;
    }

    long term() {
        return mHardState.term();
    }

    long cluster() {
        return mHardState.cluster();
    }

    Optional<StoreId> vote() {
        return mHardState.vote();
    }

    void changeHardState(HardState hardState) {
        mIsHardStateChanged |= !hardState.equals(mHardState);
        mHardState = hardState;
    }

    boolean isVoter() {
        return mLog.members().isVoter(mSelf);
    }

    /**
     * Adopts an incarnation for the empty folder; it is above the one that the group knows for this
     * VM.
     */
    void adoptIncarnation(long incarnation) {
        mSelf = new StoreId(mSelf.vm(), incarnation);
        mAdoptedIncarnation = Optional.of(incarnation);
    }

    Duration randomElectionTimeout() {
        long min = mTiming.electionMin().toNanos();
        long max = mTiming.electionMax().toNanos();
        return Duration.ofNanos(mRandom.nextLong(min, max));
    }

    void send(StoreId to, Message.Body body) {
        mMessages.add(new Message(mSelf, to, cluster(), term(), mLocal.start(), body));
    }

    void append(Entry entry) {
        mLog.add(entry);
        mAppended.add(entry);
    }

    /** Truncates the log from an index on, including entries that are not stored yet. */
    void truncateFrom(long index) {
        mLog.truncateFrom(index);
        mAppended.removeIf(entry -> entry.index() >= index);
    }

    /** Replaces the log by a snapshot, either received from a leader or that of the bootstrap. */
    void install(Snapshot snapshot) {
        mLog.install(snapshot);
        mAppended.clear();
        mInstalledSnapshot = Optional.of(snapshot);
        mAppliedIndex = snapshot.index();
    }

    void readReady(long id) {
        mReadyReads.add(id);
    }

    void readFailed(long id) {
        mFailedReads.add(id);
    }

    /** Returns the outputs collected since the last call. */
    Outputs drain() {
        List<Entry> committed =
                mLog.slice(mAppliedIndex + 1, mLog.commitIndex(), Integer.MAX_VALUE);
        mAppliedIndex = mLog.commitIndex();
        Outputs outputs =
                new Outputs(
                        mIsHardStateChanged ? Optional.of(mHardState) : Optional.empty(),
                        mInstalledSnapshot,
                        List.copyOf(mAppended),
                        List.copyOf(mMessages),
                        committed,
                        List.copyOf(mReadyReads),
                        List.copyOf(mFailedReads),
                        mAdoptedIncarnation);
        mIsHardStateChanged = false;
        mInstalledSnapshot = Optional.empty();
        mAdoptedIncarnation = Optional.empty();
        mAppended.clear();
        mMessages.clear();
        mReadyReads.clear();
        mFailedReads.clear();
        return outputs;
    }
}
