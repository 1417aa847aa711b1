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
    static final int MAX_UNCOMMITTED = 8_192;

    /** Most bytes that wait to be committed. */
    static final int MAX_UNCOMMITTED_BYTES = 32 << 20;

    private static final int MAX_PENDING_READS = 16_384;

    /** Times of the policy's patience after which a silent learner is dropped. */
    private static final int LEARNER_PATIENCE = 5;

    private static final Duration NEVER = Duration.ofNanos(Long.MIN_VALUE / 2);

    private final CoreState mState;
    private final Replication mReplication;
    private final Map<StoreId, Progress> mProgress = new LinkedHashMap<>();
    private final List<PendingRead> mReads = new ArrayList<>();
    private final Duration mSince;
    private final long mTermStart;
    private Optional<StoreId> mSuccessor = Optional.empty();
    private Duration mHandOverBy = Duration.ZERO;
    private Duration mNextBeat;
    private long mUncommittedBytes;

    private Leadership(CoreState state) {
        mState = state;
        mReplication = Replication.of(state);
        mSince = state.now();
        mNextBeat = state.now();
        mTermStart = state.log().lastIndex() + 1;
    }

    /** Begins the term that the store was elected for. */
    static Leadership begin(CoreState state) {
        Leadership leadership = new Leadership(state);
        state.become(LogRole.LEADER);
        state.follow(Optional.of(state.self()));
        leadership.trackMembers();
        leadership.append(EntryKind.EMPTY, ByteBuffer.allocate(0));
        return leadership;
    }

    private record PendingRead(long id, long readIndex, Duration at) {}

    /**
     * Sends heartbeats that are due, and brings learners and changes forward.
     *
     * @return false where leadership has ended
     */
    boolean tick() {
        if (isCutOff() || isHandOverLate() || isRemoved()) {
            return false;
        }
        if (mState.now().compareTo(mNextBeat) >= 0) {
            beat();
        }
        promoteLearners();
        if (seats().isAutomatic()) {
            removeSilent();
        }
        advance();
        return true;
    }

    Proposal propose(ByteBuffer payload) {
        if (payload.remaining() > MAX_PAYLOAD_BYTES) {
            return Proposal.refused(LogFailure.Kind.TOO_LARGE);
        }
        if (mSuccessor.isPresent()) {
            return Proposal.refused(LogFailure.Kind.NOT_LEADER);
        }
        long waiting = mState.log().lastIndex() - mState.log().commitIndex();
        if (waiting >= MAX_UNCOMMITTED || mUncommittedBytes >= MAX_UNCOMMITTED_BYTES) {
            return Proposal.refused(LogFailure.Kind.BUSY);
        }
        return Proposal.taken(append(EntryKind.PAYLOAD, payload));
    }

    /** Makes a change of members, where none waits to be committed. */
    Proposal changeMembers(Membership members) {
        boolean isPossible =
                isTermOpen()
                        && mState.log().membersIndex() <= mState.log().commitIndex()
                        && mSuccessor.isEmpty()
                        && !members.voters().isEmpty()
                        && isQuorumHeard(members)
                        && members.members().size() <= Membership.MAX_MEMBERS;
        if (!isPossible) {
            return Proposal.refused(LogFailure.Kind.CHANGE_REFUSED);
        }
        Entry entry = append(EntryKind.MEMBERS, members.encode());
        trackMembers();
        return Proposal.taken(entry);
    }

    void onHello(StoreId from, Message.Hello hello) {
        Optional<Member> known = mState.log().members().byVm(from.vm());
        boolean isWelcome =
                known.isEmpty()
                        ? seats().isAutomatic()
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
        } else if (progress.transfer().isEmpty()) {
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
        long readIndex = Math.max(mState.log().commitIndex(), mTermStart);
        mReads.add(new PendingRead(id, readIndex, mState.now()));
        if (mReads.size() == 1) {
            beat();
        }
        answerReads();
    }

    boolean handOverTo(StoreId successor) {
        if (mSuccessor.isPresent() || !mState.log().members().isVoter(successor)) {
            return false;
        }
        mSuccessor = Optional.of(successor);
        mHandOverBy = mState.now().plus(mState.timing().electionMax());
        advance();
        return true;
    }

    /** Returns until when no other store can be leader; in the past where that isn't known. */
    Duration leaseUntil() {
        if (mSuccessor.isPresent() || !isTermOpen() || mState.log().members().voters().isEmpty()) {
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

    private void beat() {
        mNextBeat = mState.now().plus(mState.timing().heartbeat());
        mProgress.forEach(mReplication::sendBeat);
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
            if (!member.id().equals(mState.self()) && !member.id().isAwaited()) {
                mProgress.putIfAbsent(
                        member.id(),
                        Progress.of(next, mState.log().commitIndex(), NEVER, mState.now()));
            }
        }
    }

    private void advance() {
        commitReached();
        answerReads();
        mSuccessor.ifPresent(this::handOverIfCaughtUp);
    }

    private void commitReached() {
        EntryLog log = mState.log();
        long reached = log.members().reachedByQuorum(this::matchOf);
        if (reached <= log.commitIndex() || log.termAt(reached) != mState.term()) {
            return;
        }
        for (long index = log.commitIndex() + 1; index <= reached; index++) {
            mUncommittedBytes -= log.entryAt(index).size();
        }
        mUncommittedBytes = Math.max(0, mUncommittedBytes);
        log.commit(reached);
    }

    private void answerReads() {
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
                                            && acked.compareTo(read.at()) >= 0;
                            if (isReady) {
                                mState.readReady(read.id());
                            }
                            return isReady;
                        });
        if (isAnyReady && !mReads.isEmpty()) {
            // Those that came after the round began need another one.
            beat();
        }
    }

    private void handOverIfCaughtUp(StoreId successor) {
        Progress progress = mProgress.get(successor);
        if (progress != null && progress.match() == mState.log().lastIndex()) {
            mState.send(successor, new Message.TransferNow());
        }
    }

    private void promoteLearners() {
        if (seats().isAutomatic() && !hasFreeSeat()) {
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

    private SeatPolicy seats() {
        return mState.local().seats();
    }

    private boolean hasFreeSeat() {
        List<Member> voters = mState.log().members().voters();
        boolean isOneSilent = voters.stream().anyMatch(voter -> isSilent(voter, 1));
        return voters.size() < seats().seats() || (isOneSilent && voters.size() == seats().seats());
    }

    /** Removes a silent voter beyond the seats, or a learner that is gone. */
    private void removeSilent() {
        Membership members = mState.log().members();
        boolean isOverfull = members.voters().size() > seats().seats();
        for (Member member : members.members()) {
            boolean isLeaving =
                    member.isVoter()
                            ? isOverfull && isSilent(member, 1)
                            : isSilent(member, LEARNER_PATIENCE);
            if (isLeaving) {
                changeMembers(members.without(member.id().vm()));
                return;
            }
        }
    }

    /** Returns whether a member has said nothing for a number of times the policy's patience. */
    private boolean isSilent(Member member, int times) {
        Progress progress = mProgress.get(member.id());
        Duration patience = seats().patience().multipliedBy(times);
        return progress != null
                && progress.silentSince().plus(patience).compareTo(mState.now()) < 0;
    }

    /** Returns whether a majority of the voters that would be has answered of late. */
    private boolean isQuorumHeard(Membership members) {
        Duration since = mState.now().minus(mState.timing().electionMax());
        long heard =
                members.voters().stream()
                        .filter(voter -> ackedAt(voter.id()).compareTo(since) > 0)
                        .count();
        return heard >= members.quorum();
    }

    private boolean isTermOpen() {
        return mState.log().commitIndex() >= mTermStart;
    }

    private boolean isRemoved() {
        return !mState.isVoter() && mState.log().membersIndex() <= mState.log().commitIndex();
    }

    private boolean isHandOverLate() {
        return mSuccessor.isPresent() && mState.now().compareTo(mHandOverBy) > 0;
    }

    private boolean isCutOff() {
        Duration acked = quorumAckedAt();
        Duration heard = acked.compareTo(mSince) > 0 ? acked : mSince;
        return heard.plus(mState.timing().electionMax()).compareTo(mState.now()) < 0;
    }

    private long matchOf(StoreId id) {
        if (id.equals(mState.self())) {
            return mState.log().lastIndex();
        }
        Progress progress = mProgress.get(id);
        return progress == null ? 0 : progress.match();
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
