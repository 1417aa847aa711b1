package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A leader's term: replicates the log, commits entries, renews the lease and changes members. */
final class Leadership {
    /** Maximum payload of a proposal, in bytes. */
    static final int MAX_PAYLOAD_BYTES = 2 << 20;

    /** Number of uncommitted entries from which proposals are refused. */
    static final int MAX_UNCOMMITTED_ENTRIES = 8_192;

    /** Size of uncommitted entries from which proposals are refused, in bytes. */
    static final int MAX_UNCOMMITTED_BYTES = 32 << 20;

    private static final int MAX_PENDING_READS = 16_384;

    /** Multiple of the policy's silence timeout after which an unresponsive learner is removed. */
    private static final int LEARNER_TIMEOUT_FACTOR = 5;

    private static final Duration NEVER = Duration.ofNanos(Long.MIN_VALUE / 2);

    private final CoreState mState;
    private final Replication mReplication;
    private final Map<StoreId, Progress> mProgress = new LinkedHashMap<>();
    private final List<PendingRead> mReads = new ArrayList<>();
    private final Duration mElectedAt;
    private final long mFirstIndexOfTerm;
    private Optional<StoreId> mTransferTarget = Optional.empty();
    private Duration mTransferDeadline = Duration.ZERO;
    private Duration mNextHeartbeatAt;
    private long mUncommittedBytes;

    private Leadership(CoreState state) {
        mState = state;
        mReplication = Replication.of(state);
        mElectedAt = state.now();
        mNextHeartbeatAt = state.now();
        mFirstIndexOfTerm = state.log().lastIndex() + 1;
    }

    /** Starts the term for which this store was elected. */
    static Leadership begin(CoreState state) {
        Leadership leadership = new Leadership(state);
        state.changeRole(LogRole.LEADER);
        state.changeLeader(Optional.of(state.self()));
        leadership.trackMembers();
        leadership.append(EntryKind.EMPTY, ByteBuffer.allocate(0));
        return leadership;
    }

    private record PendingRead(long id, long readIndex, Duration requestedAt) {}

    /**
     * Sends due heartbeats, promotes learners, removes unresponsive members, advances the commit
     * index and completes reads.
     *
     * @return false if this store must step down
     */
    boolean tick() {
        if (hasLostQuorum() || isTransferOverdue() || isRemoved()) {
            return false;
        }
        if (mState.now().compareTo(mNextHeartbeatAt) >= 0) {
            sendHeartbeats();
        }
        promoteLearners();
        if (voterPolicy().isAutomatic()) {
            removeUnresponsive();
        }
        advance();
        return true;
    }

    Proposal propose(ByteBuffer payload) {
        if (payload.remaining() > MAX_PAYLOAD_BYTES) {
            return Proposal.refused(LogFailure.Kind.TOO_LARGE);
        }
        if (mTransferTarget.isPresent()) {
            return Proposal.refused(LogFailure.Kind.NOT_LEADER);
        }
        long uncommitted = mState.log().lastIndex() - mState.log().commitIndex();
        if (uncommitted >= MAX_UNCOMMITTED_ENTRIES || mUncommittedBytes >= MAX_UNCOMMITTED_BYTES) {
            return Proposal.refused(LogFailure.Kind.BUSY);
        }
        return Proposal.accepted(append(EntryKind.PAYLOAD, payload));
    }

    /**
     * Appends a change of members.
     *
     * <p>Refuses the change if no entry of this term is committed, an earlier change of members is
     * not committed, leadership is being transferred, no quorum of the new voters has responded
     * recently, or the group would have no voters or more than {@link Membership#MAX_MEMBERS}
     * members.
     */
    Proposal changeMembers(Membership members) {
        boolean isPossible =
                hasCommittedInTerm()
                        && mState.log().membersIndex() <= mState.log().commitIndex()
                        && mTransferTarget.isEmpty()
                        && !members.voters().isEmpty()
                        && hasRecentQuorum(members)
                        && members.members().size() <= Membership.MAX_MEMBERS;
        if (!isPossible) {
            return Proposal.refused(LogFailure.Kind.CHANGE_REFUSED);
        }
        Entry entry = append(EntryKind.MEMBERS, members.encode());
        trackMembers();
        return Proposal.accepted(entry);
    }

    /**
     * Tries to admit the sender as a learner if the group knows its VM with an earlier incarnation,
     * or if the VM is new and the policy is automatic.
     */
    void onHello(StoreId from, Message.Hello hello) {
        Optional<Member> known = mState.log().members().byVm(from.vm());
        boolean isAdmitted =
                known.isEmpty()
                        ? voterPolicy().isAutomatic()
                        : known.get().id().incarnation() < from.incarnation();
        if (!isAdmitted) {
            return;
        }
        changeMembers(mState.log().members().with(new Member(from, hello.address(), false)));
    }

    void onAppendReply(StoreId from, Message.AppendReply reply) {
        Progress progress = mProgress.get(from);
        if (progress == null || reply.forTerm() != mState.term()) {
            return;
        }
        progress.acknowledged(Duration.ofNanos(reply.sentAt()));
        if (reply.isMatched()) {
            progress.matched(reply.index());
        } else if (progress.snapshotTransfer().isEmpty()) {
            progress.mismatched(reply.index());
        }
        advance();
    }

    void onSnapshotReply(StoreId from, Message.SnapshotReply reply) {
        Progress progress = mProgress.get(from);
        if (progress == null || reply.forTerm() != mState.term()) {
            return;
        }
        progress.acknowledged(Duration.ofNanos(reply.sentAt()));
        mReplication.onSnapshotReply(from, progress, reply);
        advance();
    }

    void requestRead(long id) {
        if (mReads.size() >= MAX_PENDING_READS) {
            mState.readFailed(id);
            return;
        }
        long readIndex = Math.max(mState.log().commitIndex(), mFirstIndexOfTerm);
        mReads.add(new PendingRead(id, readIndex, mState.now()));
        if (mReads.size() == 1) {
            sendHeartbeats();
        }
        completeReads();
    }

    boolean transferTo(StoreId target) {
        if (mTransferTarget.isPresent() || !mState.log().members().isVoter(target)) {
            return false;
        }
        mTransferTarget = Optional.of(target);
        mTransferDeadline = mState.now().plus(mState.timing().electionMax());
        advance();
        return true;
    }

    /** Returns until when no other store can lead; a time in the past if there is no lease. */
    Duration leaseUntil() {
        if (mTransferTarget.isPresent()
                || !hasCommittedInTerm()
                || mState.log().members().voters().isEmpty()) {
            return NEVER;
        }
        return quorumAckedAt().plus(mState.timing().lease());
    }

    /** Sends new entries and commit indexes to the members, as {@link Replication} permits. */
    void flush() {
        mProgress.forEach(mReplication::sendNew);
    }

    /** Fails all reads, because this store no longer leads. */
    void failReads() {
        mReads.forEach(read -> mState.readFailed(read.id()));
        mReads.clear();
    }

    private void sendHeartbeats() {
        mNextHeartbeatAt = mState.now().plus(mState.timing().heartbeat());
        mProgress.forEach(mReplication::sendHeartbeat);
    }

    private Entry append(EntryKind kind, ByteBuffer payload) {
        Entry entry = new Entry(mState.log().lastIndex() + 1, mState.term(), kind, payload.slice());
        mState.append(entry);
        mUncommittedBytes += entry.size();
        advance();
        return entry;
    }

    private void trackMembers() {
        Membership members = mState.log().members();
        mProgress.keySet().removeIf(id -> members.byId(id).isEmpty());
        long next = mState.log().lastIndex() + 1;
        for (Member member : members.members()) {
            if (!member.id().equals(mState.self()) && !member.id().isIncarnationUnknown()) {
                mProgress.putIfAbsent(
                        member.id(),
                        Progress.of(next, mState.log().commitIndex(), NEVER, mState.now()));
            }
        }
    }

    private void advance() {
        advanceCommitIndex();
        completeReads();
        mTransferTarget.ifPresent(this::sendTransferIfCaughtUp);
    }

    private void advanceCommitIndex() {
        EntryLog log = mState.log();
        long quorumIndex = log.members().reachedByQuorum(this::matchIndexOf);
        if (quorumIndex <= log.commitIndex() || log.termAt(quorumIndex) != mState.term()) {
            return;
        }
        for (long index = log.commitIndex() + 1; index <= quorumIndex; index++) {
            mUncommittedBytes -= log.entryAt(index).size();
        }
        mUncommittedBytes = Math.max(0, mUncommittedBytes);
        log.commit(quorumIndex);
    }

    private void completeReads() {
        if (mReads.isEmpty()) {
            return;
        }
        // Reads need acknowledgements of messages sent after the request; a lease is not enough:
        // the monotonic clock stops while a VM is suspended, so an expired lease may look valid.
        Duration acked = quorumAckedAt();
        boolean isAnyReady =
                mReads.removeIf(
                        read -> {
                            boolean isReady =
                                    mState.log().commitIndex() >= read.readIndex()
                                            && acked.compareTo(read.requestedAt()) >= 0;
                            if (isReady) {
                                mState.readReady(read.id());
                            }
                            return isReady;
                        });
        if (isAnyReady && !mReads.isEmpty()) {
            // Reads requested after that round of messages was sent need another round.
            sendHeartbeats();
        }
    }

    private void sendTransferIfCaughtUp(StoreId target) {
        Progress progress = mProgress.get(target);
        if (progress != null && progress.matchIndex() == mState.log().lastIndex()) {
            mState.send(target, new Message.TransferNow());
        }
    }

    private void promoteLearners() {
        if (voterPolicy().isAutomatic() && !needsVoter()) {
            return;
        }
        for (Member member : mState.log().members().members()) {
            Progress progress = mProgress.get(member.id());
            if (member.isVoter() || progress == null || !progress.hasCaughtUp()) {
                continue;
            }
            Duration oldestContact = mState.now().minus(mState.timing().electionMin());
            if (progress.ackedAt().compareTo(oldestContact) > 0) {
                changeMembers(
                        mState.log()
                                .members()
                                .with(new Member(member.id(), member.address(), true)));
                return;
            }
        }
    }

    private VoterPolicy voterPolicy() {
        return mState.local().voterPolicy();
    }

    private boolean needsVoter() {
        List<Member> voters = mState.log().members().voters();
        boolean isVoterUnresponsive = voters.stream().anyMatch(voter -> isUnresponsive(voter, 1));
        return voters.size() < voterPolicy().targetVoters()
                || (isVoterUnresponsive && voters.size() == voterPolicy().targetVoters());
    }

    /** Removes one unresponsive voter beyond the target number, or one unresponsive learner. */
    private void removeUnresponsive() {
        Membership members = mState.log().members();
        boolean hasSurplusVoters = members.voters().size() > voterPolicy().targetVoters();
        for (Member member : members.members()) {
            boolean mustBeRemoved =
                    member.isVoter()
                            ? hasSurplusVoters && isUnresponsive(member, 1)
                            : isUnresponsive(member, LEARNER_TIMEOUT_FACTOR);
            if (mustBeRemoved) {
                changeMembers(members.without(member.id().vm()));
                return;
            }
        }
    }

    /**
     * Returns whether a member has not responded for a multiple of the policy's silence timeout.
     */
    private boolean isUnresponsive(Member member, int times) {
        Progress progress = mProgress.get(member.id());
        Duration timeout = voterPolicy().silenceTimeout().multipliedBy(times);
        return progress != null
                && progress.lastContactAt().plus(timeout).compareTo(mState.now()) < 0;
    }

    /**
     * Returns whether a quorum of the new voters has responded within the longest election timeout.
     */
    private boolean hasRecentQuorum(Membership members) {
        Duration oldestContact = mState.now().minus(mState.timing().electionMax());
        long responsive =
                members.voters().stream()
                        .filter(voter -> ackedAt(voter.id()).compareTo(oldestContact) > 0)
                        .count();
        return responsive >= members.quorum();
    }

    private boolean hasCommittedInTerm() {
        return mState.log().commitIndex() >= mFirstIndexOfTerm;
    }

    private boolean isRemoved() {
        return !mState.isVoter() && mState.log().membersIndex() <= mState.log().commitIndex();
    }

    private boolean isTransferOverdue() {
        return mTransferTarget.isPresent() && mState.now().compareTo(mTransferDeadline) > 0;
    }

    private boolean hasLostQuorum() {
        Duration acked = quorumAckedAt();
        Duration lastContact = acked.compareTo(mElectedAt) > 0 ? acked : mElectedAt;
        return lastContact.plus(mState.timing().electionMax()).compareTo(mState.now()) < 0;
    }

    private long matchIndexOf(StoreId id) {
        if (id.equals(mState.self())) {
            return mState.log().lastIndex();
        }
        Progress progress = mProgress.get(id);
        return progress == null ? 0 : progress.matchIndex();
    }

    private Duration quorumAckedAt() {
        return mState.log().members().reachedByQuorum(this::ackedAt);
    }

    private Duration ackedAt(StoreId id) {
        if (id.equals(mState.self())) {
            return mState.now();
        }
        Progress progress = mProgress.get(id);
        return progress == null ? NEVER : progress.ackedAt();
    }
}
