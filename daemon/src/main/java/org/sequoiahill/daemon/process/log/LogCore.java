package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Consensus core of one store, in the manner of Raft; does no I/O.
 *
 * <p>Every call may add outputs, which {@link #drain} returns. The caller must carry out what
 * {@code drain} returns, in the order given by {@link Outputs}, before its next call. Not
 * thread-safe.
 */
public final class LogCore {
    private final CoreState mState;
    private final StaleStorageDetector mStaleStorageDetector = StaleStorageDetector.create();
    private final GroupDiscovery mDiscovery;
    private final Follower mFollower;
    private final Set<StoreId> mGrantedVotes = new HashSet<>();
    private @Nullable Leadership mLeadership;
    private Duration mLastLeaderContact;
    private Duration mElectionDeadline;

    private LogCore(CoreState state) {
        mState = state;
        mDiscovery = GroupDiscovery.of(state);
        mFollower = Follower.of(state);
        mLastLeaderContact = state.now();
        mElectionDeadline = state.now().plus(state.randomElectionTimeout());
    }

    /** Returns the core of a store with the given stored state. */
    public static LogCore open(
            LocalStore local,
            StoredState stored,
            LogTiming timing,
            RandomGenerator random,
            Duration now) {
        return new LogCore(CoreState.of(local, stored, timing, random, now));
    }

    /** Advances the time, and sends heartbeats or hellos or starts an election if due. */
    public void tick(Duration now) {
        mState.advanceTo(now);
        if (mState.role() == LogRole.STOPPED) {
            return;
        }
        if (mState.log().isUninitialised()) {
            mDiscovery.tick();
            return;
        }
        if (mLeadership != null) {
            if (!mLeadership.tick()) {
                followWithoutLeader();
            }
            return;
        }
        if (hasLostLeaderContact()) {
            mDiscovery.sendHellosIfDue();
        }
        if (mState.isVoter() && mState.now().compareTo(mElectionDeadline) >= 0) {
            startPreVote();
        }
    }

    /** Handles a message from another store. */
    public void receive(Message message, Duration now) {
        mState.advanceTo(now);
        if (mState.role() == LogRole.STOPPED || !isForThisStore(message)) {
            return;
        }
        if (message.body() instanceof Message.Refused refused) {
            if (refused.nonce() == mState.local().start().nonce()) {
                stop();
            }
            return;
        }
        if (mStaleStorageDetector.check(message) == StaleStorageDetector.Verdict.STALE) {
            mState.send(message.from(), new Message.Refused(message.start().nonce()));
            return;
        }
        if (mState.log().isUninitialised()) {
            receiveUninitialised(message);
        } else {
            receiveAsMember(message);
        }
    }

    /** Proposes a payload; refused unless this store leads. */
    public Proposal propose(ByteBuffer payload, Duration now) {
        mState.advanceTo(now);
        if (mLeadership == null) {
            return Proposal.refused(notLeaderKind());
        }
        return mLeadership.propose(payload);
    }

    /** Adds a VM as a learner, which becomes a voter according to the {@link VoterPolicy}. */
    public Proposal addMember(String vm, String address, Duration now) {
        mState.advanceTo(now);
        if (mLeadership == null) {
            return Proposal.refused(notLeaderKind());
        }
        if (mState.log().members().byVm(vm).isPresent()) {
            return Proposal.refused(LogFailure.Kind.CHANGE_REFUSED);
        }
        Member learner = new Member(new StoreId(vm, 0), address, false);
        return mLeadership.changeMembers(mState.log().members().with(learner));
    }

    /** Removes the member on a VM. */
    public Proposal removeMember(String vm, Duration now) {
        mState.advanceTo(now);
        if (mLeadership == null) {
            return Proposal.refused(notLeaderKind());
        }
        if (mState.log().members().byVm(vm).isEmpty()) {
            return Proposal.refused(LogFailure.Kind.CHANGE_REFUSED);
        }
        return mLeadership.changeMembers(mState.log().members().without(vm));
    }

    /**
     * Starts to transfer leadership to another voter.
     *
     * @return false if this store doesn't lead, the VM is not another voter, or a transfer is in
     *     progress
     */
    public boolean transferLeadershipTo(String vm, Duration now) {
        mState.advanceTo(now);
        Optional<Member> target = mState.log().members().byVm(vm);
        return mLeadership != null
                && target.isPresent()
                && !target.get().id().equals(mState.self())
                && mLeadership.transferTo(target.get().id());
    }

    /**
     * Requests a read. {@link Outputs} contains its id among the ready reads once everything
     * acknowledged before this call is committed here, or among the failed reads if this store does
     * not lead or stops leading, or if too many reads are pending.
     */
    public void requestRead(long id, Duration now) {
        mState.advanceTo(now);
        if (mLeadership == null) {
            mState.readFailed(id);
            return;
        }
        mLeadership.requestRead(id);
    }

    /**
     * Compacts the log by a snapshot of the applied state.
     *
     * @param index last applied index
     * @param data state of the state machine at {@code index}
     * @param retained number of entries before the snapshot to retain for slow members
     */
    public Snapshot compact(long index, ByteBuffer data, int retained) {
        EntryLog log = mState.log();
        Snapshot snapshot = new Snapshot(index, log.termAt(index), log.membersAt(index), data);
        log.compact(snapshot, retained);
        return snapshot;
    }

    /** Stops participating for good, as after a failure of the storage. */
    public void stop() {
        endLeadership();
        mState.changeRole(LogRole.STOPPED);
        mState.changeLeader(Optional.empty());
    }

    /** Returns the outputs since the last call. */
    public Outputs drain() {
        if (mLeadership != null) {
            mLeadership.flush();
        }
        return mState.drain();
    }

    /** Returns the current role of this store. */
    public LogRole role() {
        return mState.role();
    }

    /** Returns the highest term seen. */
    public long term() {
        return mState.term();
    }

    /** Returns the leader, if known. */
    public Optional<StoreId> leader() {
        return mState.leader();
    }

    /**
     * Returns when a message of a leader was last received, or when the store was opened or joined
     * its group if that is later.
     */
    Duration lastLeaderContact() {
        return mLastLeaderContact;
    }

    /**
     * Returns whether this store knows of all entries committed before the current term, that is
     * whether its commit index is at an entry of this term.
     *
     * <p>A store that has just started may be in contact with its leader and still be far behind.
     */
    boolean isCaughtUp() {
        EntryLog log = mState.log();
        return !log.isUninitialised() && log.termAt(log.commitIndex()) == mState.term();
    }

    /** Returns the VM and storage incarnation of this store. */
    public StoreId self() {
        return mState.self();
    }

    /** Returns the entries in memory. */
    EntryLog log() {
        return mState.log();
    }

    /** Returns the members as of the last entry, which may be uncommitted. */
    public Membership members() {
        return mState.log().members();
    }

    /**
     * Returns until when no other store can lead; empty unless this store leads, and a time in the
     * past if it leads without a lease.
     */
    public Optional<Duration> leaseUntil() {
        return mLeadership == null ? Optional.empty() : Optional.of(mLeadership.leaseUntil());
    }

    private LogFailure.Kind notLeaderKind() {
        return mState.role() == LogRole.STOPPED
                ? LogFailure.Kind.STOPPED
                : LogFailure.Kind.NOT_LEADER;
    }

    /**
     * Returns whether this store has had no contact with a leader for so long that the current
     * leader may not know it.
     */
    private boolean hasLostLeaderContact() {
        Duration timeout = mState.timing().electionMax().multipliedBy(2);
        return mState.now().compareTo(mLastLeaderContact.plus(timeout)) > 0;
    }

    private boolean isForThisStore(Message message) {
        boolean isHelloToVm =
                message.body() instanceof Message.Hello && message.to().isIncarnationUnknown();
        boolean isReceiver =
                message.to().equals(mState.self())
                        || (isHelloToVm && message.to().vm().equals(mState.self().vm()));
        boolean isOtherCluster =
                message.cluster() != 0
                        && mState.cluster() != 0
                        && message.cluster() != mState.cluster();
        return isReceiver && !isOtherCluster;
    }

    private void receiveUninitialised(Message message) {
        if (message.body() instanceof Message.Hello hello) {
            mDiscovery.onHello(message, hello);
        } else if (message.body() instanceof Message.HelloReply reply) {
            mDiscovery.onHelloReply(message, reply);
        } else if (message.body() instanceof Message.Append append) {
            mFollower.replyToAppend(message, append, false, 0);
        } else if (message.body() instanceof Message.SnapshotChunk chunk
                && mFollower.onSnapshotChunk(message, chunk)) {
            mState.changeHardState(
                    new HardState(message.cluster(), message.term(), Optional.empty()));
            acceptLeader(message);
            mFollower.replyToChunk(message, chunk, chunk.total(), true);
        }
        if (!mState.log().isUninitialised()) {
            mLastLeaderContact = mState.now();
            resetElectionTimer();
        }
    }

    private void receiveAsMember(Message message) {
        if (message.body() instanceof Message.VoteRequest request) {
            onVoteRequest(message, request);
        } else if (message.body() instanceof Message.VoteReply reply) {
            adoptHigherTerm(message);
            onVoteReply(message, reply);
        } else if (message.body() instanceof Message.Append append) {
            onAppend(message, append);
        } else if (message.body() instanceof Message.SnapshotChunk chunk) {
            onSnapshotChunk(message, chunk);
        } else if (message.body() instanceof Message.AppendReply reply) {
            adoptHigherTerm(message);
            onAppendReply(message, reply);
        } else if (message.body() instanceof Message.SnapshotReply reply) {
            adoptHigherTerm(message);
            if (mLeadership != null) {
                mLeadership.onSnapshotReply(message.from(), reply);
            }
        } else if (message.body() instanceof Message.TransferNow) {
            onTransferNow(message);
        } else if (message.body() instanceof Message.Hello hello) {
            onHello(message, hello);
        } else if (message.body() instanceof Message.HelloReply reply) {
            mDiscovery.updateMembers(reply.members());
        }
    }

    private void onVoteRequest(Message message, Message.VoteRequest request) {
        if (!request.isTransfer() && hasLiveLeader()) {
            return;
        }
        if (request.isPreVote()) {
            boolean isGranted = request.forTerm() > mState.term() && isUpToDate(request);
            mState.send(message.from(), new Message.VoteReply(request.forTerm(), true, isGranted));
            return;
        }
        adoptHigherTerm(message);
        boolean isGranted =
                request.forTerm() == mState.term()
                        && mState.vote().map(message.from()::equals).orElse(true)
                        && isUpToDate(request);
        if (isGranted) {
            mState.changeHardState(
                    new HardState(mState.cluster(), mState.term(), Optional.of(message.from())));
            resetElectionTimer();
        }
        mState.send(message.from(), new Message.VoteReply(request.forTerm(), false, isGranted));
    }

    /** Returns whether a leader may hold a lease, so that this store must not grant its vote. */
    private boolean hasLiveLeader() {
        Duration leaderDeadline = mLastLeaderContact.plus(mState.timing().electionMin());
        return mLeadership != null || mState.now().compareTo(leaderDeadline) < 0;
    }

    private boolean isUpToDate(Message.VoteRequest request) {
        long lastTerm = mState.log().lastTerm();
        return request.lastTerm() > lastTerm
                || (request.lastTerm() == lastTerm
                        && request.lastIndex() >= mState.log().lastIndex());
    }

    private void onVoteReply(Message message, Message.VoteReply reply) {
        boolean isExpected =
                reply.isPreVote()
                        ? mState.role() == LogRole.PRE_CANDIDATE
                                && reply.forTerm() == mState.term() + 1
                        : mState.role() == LogRole.CANDIDATE && reply.forTerm() == mState.term();
        if (isExpected && reply.isGranted()) {
            mGrantedVotes.add(message.from());
            advanceElection();
        }
    }

    private void onAppend(Message message, Message.Append append) {
        if (message.term() < mState.term()) {
            mFollower.replyToAppend(message, append, false, mState.log().lastIndex());
            return;
        }
        acceptLeader(message);
        mFollower.onAppend(message, append);
    }

    private void onSnapshotChunk(Message message, Message.SnapshotChunk chunk) {
        if (message.term() < mState.term()) {
            mFollower.replyToChunk(message, chunk, 0, false);
            return;
        }
        acceptLeader(message);
        if (mFollower.onSnapshotChunk(message, chunk)) {
            mFollower.replyToChunk(message, chunk, chunk.total(), true);
        }
    }

    private void onAppendReply(Message message, Message.AppendReply reply) {
        if (reply.isMatched()) {
            mStaleStorageDetector.recordSynced(message.from(), reply.forTerm(), reply.index());
        }
        if (mLeadership != null) {
            mLeadership.onAppendReply(message.from(), reply);
        }
    }

    private void onTransferNow(Message message) {
        boolean isFromLeader =
                message.term() == mState.term()
                        && mState.leader().filter(message.from()::equals).isPresent();
        if (isFromLeader && mState.isVoter()) {
            startElection(true);
        }
    }

    private void onHello(Message message, Message.Hello hello) {
        Snapshot snapshot = mState.log().snapshot();
        boolean isBootstrap =
                message.cluster() == 0
                        && snapshot.index() == Snapshot.BOOTSTRAP_INDEX
                        && snapshot.members().byId(message.from()).isPresent();
        Membership members = isBootstrap ? snapshot.members() : members();
        long knownIncarnation =
                members().byVm(message.from().vm()).map(m -> m.id().incarnation()).orElse(0L);
        mState.send(message.from(), new Message.HelloReply(knownIncarnation, isBootstrap, members));
        if (mLeadership != null && !isBootstrap) {
            mLeadership.onHello(message.from(), hello);
        }
    }

    private void acceptLeader(Message message) {
        adoptHigherTerm(message);
        endLeadership();
        mState.changeRole(LogRole.FOLLOWER);
        mState.changeLeader(Optional.of(message.from()));
        mLastLeaderContact = mState.now();
        resetElectionTimer();
    }

    private void adoptHigherTerm(Message message) {
        if (message.term() <= mState.term()) {
            return;
        }
        followWithoutLeader();
        mState.changeHardState(new HardState(mState.cluster(), message.term(), Optional.empty()));
    }

    private void followWithoutLeader() {
        endLeadership();
        mState.changeRole(LogRole.FOLLOWER);
        mState.changeLeader(Optional.empty());
        resetElectionTimer();
    }

    private void endLeadership() {
        if (mLeadership != null) {
            mLeadership.failReads();
            mLeadership = null;
        }
    }

    private void startPreVote() {
        mState.changeRole(LogRole.PRE_CANDIDATE);
        mState.changeLeader(Optional.empty());
        requestVotes(mState.term() + 1, true, false);
    }

    private void startElection(boolean isTransfer) {
        mState.changeRole(LogRole.CANDIDATE);
        mState.changeLeader(Optional.empty());
        mState.changeHardState(
                new HardState(mState.cluster(), mState.term() + 1, Optional.of(mState.self())));
        requestVotes(mState.term(), false, isTransfer);
    }

    private void requestVotes(long forTerm, boolean isPreVote, boolean isTransfer) {
        resetElectionTimer();
        mGrantedVotes.clear();
        mGrantedVotes.add(mState.self());
        for (Member voter : mState.log().members().voters()) {
            if (!voter.id().equals(mState.self())) {
                mState.send(
                        voter.id(),
                        new Message.VoteRequest(
                                forTerm,
                                isPreVote,
                                isTransfer,
                                mState.log().lastIndex(),
                                mState.log().lastTerm()));
            }
        }
        advanceElection();
    }

    private void advanceElection() {
        Membership members = mState.log().members();
        long granted = mGrantedVotes.stream().filter(members::isVoter).count();
        if (granted < members.quorum()) {
            return;
        }
        if (mState.role() == LogRole.PRE_CANDIDATE) {
            startElection(false);
        } else {
            mLeadership = Leadership.begin(mState);
        }
    }

    private void resetElectionTimer() {
        mElectionDeadline = mState.now().plus(mState.randomElectionTimeout());
    }
}
