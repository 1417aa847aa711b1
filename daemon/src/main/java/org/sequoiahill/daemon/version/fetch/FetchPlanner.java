package org.sequoiahill.daemon.version.fetch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Decides where each chunk of a version is drawn from; does no I/O and reads no clock.
 *
 * <p>The owner of a chunk draws it from the origin, the others ask the owner. Where the owner is
 * lost, wrong or has nothing to give for long, the next in rank takes its place out of a lease of
 * draws, and agents of other regions are asked only where no lease is granted. Not safe for use by
 * several threads.
 */
public final class FetchPlanner {
    private static final String ORIGIN = "";
    private static final int MAX_LEASE_CHUNKS = 16;
    private static final int MAX_BACKOFF_DOUBLINGS = 6;
    private static final int LEAST_ASKS_PER_OWNER = 1;
    private static final Duration LEASE_PAUSE = Duration.ofSeconds(2);

    private final List<String> mDigests;
    private final String mOwnVm;
    private final ChunkRanking mRanking;
    private final FetchLimits mLimits;
    private final RandomGenerator mRandom;
    private final BitSet mHeld = new BitSet();
    private final BitSet mOwnedAtStart = new BitSet();
    private final Map<Integer, ChunkState> mStates = new HashMap<>();
    private final Map<Integer, List<Member>> mRanks = new HashMap<>();
    private final Map<String, Duration> mSuspects = new HashMap<>();
    private final Map<String, Integer> mAsksByVm = new HashMap<>();
    private List<Member> mNear = List.of();
    private List<Member> mFar = List.of();
    private int mDrawsInFlight;
    private int mDrawLimit;
    private int mAsksInFlight;
    private Duration mOriginPausedUntil = Duration.ZERO;
    private Duration mLeaseNotBefore = Duration.ZERO;
    private Duration mLeaseRefusedUntil = Duration.ZERO;
    private int mLeased;
    private int mLeaseWanted;
    private long mNextId;

    private FetchPlanner(
            List<String> digests,
            String ownVm,
            ChunkRanking ranking,
            FetchLimits limits,
            RandomGenerator random) {
        mDigests = digests;
        mOwnVm = ownVm;
        mRanking = ranking;
        mLimits = limits;
        mRandom = random;
    }

    /**
     * Returns a plan for chunks none of which is held.
     *
     * @param digests digest of each chunk, by index
     * @param ownVm VM of this agent
     * @param near agents of this region, this one among them
     */
    public static FetchPlanner of(
            List<String> digests,
            String ownVm,
            List<Member> near,
            ChunkRanking ranking,
            FetchLimits limits,
            RandomGenerator random) {
        FetchPlanner planner =
                new FetchPlanner(List.copyOf(digests), ownVm, ranking, limits, random);
        planner.membersChanged(near, List.of());
        for (int chunk = 0; chunk < digests.size(); chunk++) {
            planner.mOwnedAtStart.set(chunk, planner.isFirst(planner.rank(chunk)));
        }
        return planner;
    }

    /** What is to be done next. */
    public sealed interface Step {
        /** Starts an attempt; {@link #arrived} or {@link #failed} must follow. */
        record Begin(Attempt attempt) implements Step {}

        /** Asks for a lease of draws from the origin; {@link #leased} must follow. */
        record AskLease(int chunks) implements Step {}
    }

    /** Takes the agents of this region and some of other regions. */
    public void membersChanged(List<Member> near, List<Member> far) {
        mFar = List.copyOf(far);
        if (!near.equals(mNear)) {
            mNear = List.copyOf(near);
            mRanks.clear();
        }
    }

    /** Notes a chunk that is held without an attempt. */
    public void hold(int chunk) {
        mHeld.set(chunk);
        mStates.remove(chunk);
    }

    /** Returns whether every chunk is held. */
    public boolean isWhole() {
        return mHeld.cardinality() == mDigests.size();
    }

    /** Returns how many chunks are held. */
    public int held() {
        return mHeld.cardinality();
    }

    /** Returns what to start now; to be called after each event and at intervals. */
    public List<Step> next(Duration now) {
        List<Step> steps = new ArrayList<>();
        mLeaseWanted = 0;
        mDrawLimit = drawLimit();
        int chunk = mHeld.nextClearBit(0);
        while (chunk < mDigests.size() && hasRoom(now)) {
            begin(chunk, now, steps);
            chunk = mHeld.nextClearBit(chunk + 1);
        }
        if (mLeaseWanted > 0 && mLeaseNotBefore.compareTo(now) <= 0) {
            mLeaseNotBefore = now.plus(LEASE_PAUSE);
            steps.add(new Step.AskLease(Math.min(mLeaseWanted, MAX_LEASE_CHUNKS)));
        }
        return steps;
    }

    /** Notes that an attempt brought its chunk, checked. */
    public void arrived(Attempt attempt) {
        end(attempt);
        hold(attempt.chunk());
    }

    /** Takes the members that a peer names as holders of the chunk that it was asked for. */
    public void redirected(Attempt attempt, List<String> addresses) {
        end(attempt);
        if (mHeld.get(attempt.chunk())) {
            return;
        }
        List<Member> holders =
                mNear.stream()
                        .filter(member -> addresses.contains(member.address()))
                        .filter(member -> !member.vm().equals(mOwnVm))
                        .toList();
        stateOf(attempt.chunk()).hint(holders);
    }

    /**
     * Notes that a live peer holds nothing yet.
     *
     * @param progress rises with the bytes that the peer receives
     */
    public void pending(Attempt attempt, long progress, Duration now) {
        end(attempt);
        if (mHeld.get(attempt.chunk()) || !(attempt.source() instanceof Source.Peer peer)) {
            return;
        }
        ChunkState state = stateOf(attempt.chunk());
        String vm = peer.member().vm();
        if (!peer.canWait()) {
            state.passOver(vm, now.plus(mLimits.patience()));
        } else if (state.pendingFor(progress, now).compareTo(mLimits.patience()) >= 0) {
            state.clearPending();
            state.passOver(vm, now.plus(mLimits.passOver()));
        } else {
            state.waitUntil(now.plus(jittered(mLimits.retryDelay().dividedBy(4))));
        }
    }

    /**
     * Notes that an attempt failed.
     *
     * @param retryAfter pause that the source asks for; zero where it names none
     */
    public void failed(Attempt attempt, AttemptFailure failure, Duration retryAfter, Duration now) {
        end(attempt);
        if (mHeld.get(attempt.chunk()) || failure == AttemptFailure.SUPERSEDED) {
            return;
        }
        if (attempt.source() instanceof Source.Peer peer) {
            peerFailed(peer, failure, now);
        } else {
            originFailed(attempt.chunk(), failure, retryAfter, now);
        }
    }

    /** Takes the answer to {@link Step.AskLease}: draws granted, which may be none. */
    public void leased(int chunks, Duration now) {
        mLeased += chunks;
        if (chunks > 0) {
            mLeaseNotBefore = Duration.ZERO;
        } else {
            mLeaseRefusedUntil = now.plus(mLimits.passOver());
        }
    }

    private boolean hasRoom(Duration now) {
        boolean canDraw = mDrawsInFlight < mDrawLimit && mOriginPausedUntil.compareTo(now) <= 0;
        return mAsksInFlight < mLimits.asksInFlight() || canDraw;
    }

    /** The agent's part of the region's draws is its part of what the region still misses. */
    private int drawLimit() {
        BitSet own = (BitSet) mOwnedAtStart.clone();
        own.andNot(mHeld);
        int missing = Math.max(1, mDigests.size() - mHeld.cardinality());
        int part = (mLimits.regionDrawsInFlight() * own.cardinality() + missing - 1) / missing;
        return Math.max(1, part);
    }

    private int asksPerOwner() {
        return Math.max(LEAST_ASKS_PER_OWNER, mLimits.asksInFlight() / Math.max(1, mNear.size()));
    }

    private void begin(int chunk, Duration now, List<Step> steps) {
        ChunkState state = stateOf(chunk);
        if (!state.isStartable(now, mLimits.slowAfter())) {
            return;
        }
        Optional<Source> source = choose(chunk, state, now);
        if (source.isEmpty()) {
            return;
        }
        Attempt attempt = new Attempt(mNextId++, chunk, source.get(), state.redirects(), now);
        if (source.get() instanceof Source.Peer peer) {
            mAsksInFlight++;
            mAsksByVm.merge(peer.member().vm(), 1, Integer::sum);
        } else {
            mDrawsInFlight++;
            state.countDraw();
        }
        state.attempts().add(attempt);
        steps.add(new Step.Begin(attempt));
    }

    private Optional<Source> choose(int chunk, ChunkState state, Duration now) {
        @Nullable Member hint = state.takeHint();
        if (hint != null && isAskable(hint, state, now)) {
            return ask(hint, true);
        }
        List<Member> ranked = rank(chunk);
        for (int i = 0; i < ranked.size(); i++) {
            Member member = ranked.get(i);
            if (!member.vm().equals(mOwnVm)) {
                if (isAskable(member, state, now)) {
                    return ask(member, true);
                }
            } else if (!state.isPassedOver(ORIGIN, now)) {
                Optional<Source> probe = probe(ranked, i, state, now);
                return probe.isPresent() ? probe : draw(chunk, state, now);
            }
        }
        return elsewhere(chunk, state, now);
    }

    /** A chunk that this agent should draw may be held already by the next in rank. */
    private Optional<Source> probe(List<Member> ranked, int own, ChunkState state, Duration now) {
        if (state.isProbed()) {
            return Optional.empty();
        }
        Optional<Member> next =
                ranked.stream().skip(own + 1L).filter(m -> isAskable(m, state, now)).findFirst();
        Optional<Source> ask = next.flatMap(member -> ask(member, false));
        if (ask.isPresent()) {
            state.markProbed();
        }
        return ask;
    }

    private Optional<Source> draw(int chunk, ChunkState state, Duration now) {
        if (mOriginPausedUntil.compareTo(now) > 0 || mDrawsInFlight >= mDrawLimit) {
            return Optional.empty();
        }
        if (mOwnedAtStart.get(chunk) && state.draws() == 0) {
            return Optional.of(new Source.Origin());
        }
        if (mLeased > 0) {
            mLeased--;
            return Optional.of(new Source.Origin());
        }
        mLeaseWanted++;
        return mLeaseRefusedUntil.compareTo(now) > 0 ? far(state, now) : Optional.empty();
    }

    private Optional<Source> elsewhere(int chunk, ChunkState state, Duration now) {
        return state.isPassedOver(ORIGIN, now) ? far(state, now) : draw(chunk, state, now);
    }

    private Optional<Source> far(ChunkState state, Duration now) {
        for (Member member : mFar) {
            if (isAskable(member, state, now)) {
                return ask(member, false);
            }
        }
        return Optional.empty();
    }

    private Optional<Source> ask(Member member, boolean canWait) {
        boolean hasRoom =
                mAsksInFlight < mLimits.asksInFlight()
                        && mAsksByVm.getOrDefault(member.vm(), 0) < asksPerOwner();
        return hasRoom ? Optional.of(new Source.Peer(member, canWait)) : Optional.empty();
    }

    private boolean isAskable(Member member, ChunkState state, Duration now) {
        Duration suspectUntil = mSuspects.getOrDefault(member.vm(), Duration.ZERO);
        return suspectUntil.compareTo(now) <= 0
                && !state.isPassedOver(member.vm(), now)
                && !state.isTrying(member.vm());
    }

    private void peerFailed(Source.Peer peer, AttemptFailure failure, Duration now) {
        boolean isWrong = failure == AttemptFailure.WRONG;
        Duration pause = isWrong ? mLimits.wrongPassOver() : mLimits.passOver();
        mSuspects.put(peer.member().vm(), now.plus(pause));
    }

    private void originFailed(
            int chunk, AttemptFailure failure, Duration retryAfter, Duration now) {
        ChunkState state = stateOf(chunk);
        if (failure == AttemptFailure.THROTTLED) {
            state.uncountDraw();
            Duration pause = retryAfter.isZero() ? mLimits.retryDelay() : retryAfter;
            mOriginPausedUntil = now.plus(pause).plus(jittered(pause.dividedBy(2)));
            return;
        }
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, state.countFailure());
        state.waitUntil(now.plus(jittered(mLimits.retryDelay().multipliedBy(1L << doublings))));
        if (failure != AttemptFailure.WRONG) {
            state.passOver(ORIGIN, now.plus(mLimits.passOver()));
        }
    }

    private void end(Attempt attempt) {
        @Nullable ChunkState state = mStates.get(attempt.chunk());
        if (state != null) {
            state.attempts().removeIf(running -> running.id() == attempt.id());
        }
        if (attempt.source() instanceof Source.Peer peer) {
            mAsksInFlight--;
            mAsksByVm.merge(peer.member().vm(), -1, Integer::sum);
        } else {
            mDrawsInFlight--;
        }
    }

    private ChunkState stateOf(int chunk) {
        return mStates.computeIfAbsent(chunk, key -> new ChunkState());
    }

    private List<Member> rank(int chunk) {
        return mRanks.computeIfAbsent(chunk, key -> mRanking.rank(mDigests.get(key), mNear));
    }

    private boolean isFirst(List<Member> ranked) {
        return ranked.isEmpty() || ranked.get(0).vm().equals(mOwnVm);
    }

    private Duration jittered(Duration most) {
        return Duration.ofNanos(most.toNanos() / 2 + mRandom.nextLong(most.toNanos() / 2 + 1));
    }
}
