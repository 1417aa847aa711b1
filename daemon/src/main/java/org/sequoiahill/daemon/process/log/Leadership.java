package org.sequoiahill.daemon.process.log;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What a leader does in its term: sends the log, commits, keeps its lease, changes members. */
final class Leadership {
    /** Largest payload of a proposal, in bytes. */
    static final int MAX_PAYLOAD_BYTES = 2 << 20;

    /** Most entries that wait to be committed. */
    static final int MAX_UNCOMMITTED_ENTRIES = 8_192;

    /** Most bytes that wait to be committed. */
    static final int MAX_UNCOMMITTED_BYTES = 32 << 20;

    private static final int MAX_PENDING_READS = 16_384;

    /** Times of the policy's patience after which a silent learner is dropped. */
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

    /** Begins the term that the store was elected for. */
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
     * Sends heartbeats that are due, and brings learners and changes forward.
     *
     * @return false where leadership has ended
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
        long waiting = mState.log().lastIndex() - mState.log().commitIndex();
        if (waiting >= MAX_UNCOMMITTED_ENTRIES || mUncommittedBytes >= MAX_UNCOMMITTED_BYTES) {
            return Proposal.refused(LogFailure.Kind.BUSY);
        }
        return Proposal.accepted(append(EntryKind.PAYLOAD, payload));
    }

    /** Makes a change of members, where none waits to be committed. */
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

    void onHello(StoreId from, Message.Hello hello) {
        Optional<Member> known = mState.log().members().byVm(from.vm());
        boolean isWelcome =
                known.isEmpty()
                        ? voterPolicy().isAutomatic()
                        : known.get().id().incarnation() < from.incarnation();
        if (!isWelcome) {
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

    boolean transferTo(StoreId successor) {
        if (mTransferTarget.isPresent() || !mState.log().members().isVoter(successor)) {
            return false;
        }
        mTransferTarget = Optional.of(successor);
        mTransferDeadline = mState.now().plus(mState.timing().electionMax());
        advance();
        return true;
    }

    /** Returns until when no other store can be leader; in the past where that isn't known. */
    Duration leaseUntil() {
        if (mTransferTarget.isPresent()
                || !hasCommittedInTerm()
                || mState.log().members().voters().isEmpty()) {
            return NEVER;
        }
        return quorumAckedAt().plus(mState.timing().lease());
    }

    /** Sends what is new to every member that has room. */
    void flush() {
        mProgress.forEach(mReplication::sendNew);
    }

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
        long reached = log.members().reachedByQuorum(this::matchIndexOf);
        if (reached <= log.commitIndex() || log.termAt(reached) != mState.term()) {
            return;
        }
        for (long index = log.commitIndex() + 1; index <= reached; index++) {
            mUncommittedBytes -= log.entryAt(index).size();
        }
        mUncommittedBytes = Math.max(0, mUncommittedBytes);
        log.commit(reached);
    }

    private void completeReads() {
        if (mReads.isEmpty()) {
            return;
        }
        // A round of messages sent after the question decides, and no lease: the monotonic clock
        // stands still while a VM is suspended, and a lease that has run out looks valid then.
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
            // Those that came after the round began need another one.
            sendHeartbeats();
        }
    }

    private void sendTransferIfCaughtUp(StoreId successor) {
        Progress progress = mProgress.get(successor);
        if (progress != null && progress.matchIndex() == mState.log().lastIndex()) {
            mState.send(successor, new Message.TransferNow());
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
            Duration heardSince = mState.now().minus(mState.timing().electionMin());
            if (progress.ackedAt().compareTo(heardSince) > 0) {
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
        boolean isOneSilent = voters.stream().anyMatch(voter -> isUnresponsive(voter, 1));
        return voters.size() < voterPolicy().targetVoters()
                || (isOneSilent && voters.size() == voterPolicy().targetVoters());
    }

    /** Removes a silent voter beyond the seats, or a learner that is gone. */
    private void removeUnresponsive() {
        Membership members = mState.log().members();
        boolean isOverfull = members.voters().size() > voterPolicy().targetVoters();
        for (Member member : members.members()) {
            boolean isLeaving =
                    member.isVoter()
                            ? isOverfull && isUnresponsive(member, 1)
                            : isUnresponsive(member, LEARNER_TIMEOUT_FACTOR);
            if (isLeaving) {
                changeMembers(members.without(member.id().vm()));
                return;
            }
        }
    }

    /** Returns whether a member has said nothing for a number of times the policy's patience. */
    private boolean isUnresponsive(Member member, int times) {
        Progress progress = mProgress.get(member.id());
        Duration patience = voterPolicy().silenceTimeout().multipliedBy(times);
        return progress != null
                && progress.lastContactAt().plus(patience).compareTo(mState.now()) < 0;
    }

    /** Returns whether a majority of the voters that would be has answered of late. */
    private boolean hasRecentQuorum(Membership members) {
        Duration since = mState.now().minus(mState.timing().electionMax());
        long heard =
                members.voters().stream()
                        .filter(voter -> ackedAt(voter.id()).compareTo(since) > 0)
                        .count();
        return heard >= members.quorum();
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
        Duration heard = acked.compareTo(mElectedAt) > 0 ? acked : mElectedAt;
        return heard.plus(mState.timing().electionMax()).compareTo(mState.now()) < 0;
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
