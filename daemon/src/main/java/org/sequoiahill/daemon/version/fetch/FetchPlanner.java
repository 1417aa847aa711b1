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
 * Decides where each chunk of a version is fetched from; performs no I/O and reads no clock.
 *
 * <p>The owner of a chunk fetches it from the origin, and the other agents of the data centre
 * request it from the owner. If the owner fails, sends corrupt bytes or makes no progress, the
 * agent that ranks next fetches the chunk from the origin instead. An agent needs a lease for each
 * fetch from the origin, except the first of a chunk that it owned when the planner was created.
 * Agents of other data centres are asked only if the origin fails or no lease is granted. Not
 * thread-safe.
 */
public final class FetchPlanner {
    private static final String ORIGIN = "";
    private static final int MAX_LEASE_CHUNKS = 16;
    private static final int MAX_BACKOFF_DOUBLINGS = 6;
    private static final int MIN_REQUESTS_PER_PEER = 1;
    private static final Duration LEASE_REQUEST_INTERVAL = Duration.ofSeconds(2);

    private final List<String> mDigests;
    private final String mOwnVm;
    private final ChunkRanking mRanking;
    private final FetchLimits mLimits;
    private final RandomGenerator mRandom;
    private final BitSet mHeld = new BitSet();
    private final BitSet mOwnedAtStart = new BitSet();
    private final Map<Integer, ChunkState> mStates = new HashMap<>();
    private final Map<Integer, List<FetchMember>> mRanks = new HashMap<>();
    private final Map<String, Duration> mSuspectUntil = new HashMap<>();
    private final Map<String, Integer> mPeerRequestsByVm = new HashMap<>();
    private List<FetchMember> mSameDataCentre = List.of();
    private List<FetchMember> mOtherDataCentres = List.of();
    private int mOriginFetchesInFlight;
    private int mOriginFetchLimit;
    private int mPeerRequestsInFlight;
    private Duration mOriginPausedUntil = Duration.ZERO;
    private Duration mNextLeaseRequestAt = Duration.ZERO;
    private Duration mLeaseRefusedUntil = Duration.ZERO;
    private int mLeasedFetches;
    private int mLeasesWanted;
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
     * Returns a planner for chunks none of which is held.
     *
     * @param digests digest of each chunk, by index
     * @param ownVm VM of this agent
     * @param sameDataCentre agents of this data centre, including this one
     */
    public static FetchPlanner of(
            List<String> digests,
            String ownVm,
            List<FetchMember> sameDataCentre,
            ChunkRanking ranking,
            FetchLimits limits,
            RandomGenerator random) {
        FetchPlanner planner =
                new FetchPlanner(List.copyOf(digests), ownVm, ranking, limits, random);
        planner.membersChanged(sameDataCentre, List.of());
        for (int chunk = 0; chunk < digests.size(); chunk++) {
            planner.mOwnedAtStart.set(chunk, planner.isOwner(planner.rank(chunk)));
        }
        return planner;
    }

    /** An action for the caller to carry out. */
    public sealed interface Step {
        /**
         * Start an attempt; {@link #succeeded}, {@link #redirected}, {@link #pending} or {@link
         * #failed} must follow.
         */
        record StartAttempt(FetchAttempt attempt) implements Step {}

        /** Request a lease for fetches from the origin; {@link #leaseAnswered} must follow. */
        record RequestLease(int chunks) implements Step {}
    }

    /** Sets the agents of this data centre, and some of other data centres. */
    public void membersChanged(
            List<FetchMember> sameDataCentre, List<FetchMember> otherDataCentres) {
        mOtherDataCentres = List.copyOf(otherDataCentres);
        if (!sameDataCentre.equals(mSameDataCentre)) {
            mSameDataCentre = List.copyOf(sameDataCentre);
            mRanks.clear();
        }
    }

    /** Records a chunk that is held without an attempt. */
    public void markHeld(int chunk) {
        mHeld.set(chunk);
        mStates.remove(chunk);
    }

    /** Returns whether every chunk is held. */
    public boolean isComplete() {
        return mHeld.cardinality() == mDigests.size();
    }

    /** Returns how many chunks are held. */
    public int heldChunks() {
        return mHeld.cardinality();
    }

    /** Returns the actions to start now; call it after each event and periodically. */
    public List<Step> next(Duration now) {
        List<Step> steps = new ArrayList<>();
        mLeasesWanted = 0;
        mOriginFetchLimit = originFetchLimit();
        int chunk = mHeld.nextClearBit(0);
        while (chunk < mDigests.size() && hasCapacity(now)) {
            startAttempt(chunk, now, steps);
            chunk = mHeld.nextClearBit(chunk + 1);
        }
        if (mLeasesWanted > 0 && mNextLeaseRequestAt.compareTo(now) <= 0) {
            mNextLeaseRequestAt = now.plus(LEASE_REQUEST_INTERVAL);
            steps.add(new Step.RequestLease(Math.min(mLeasesWanted, MAX_LEASE_CHUNKS)));
        }
        return steps;
    }

    /** Records that an attempt fetched its chunk and the chunk is verified. */
    public void succeeded(FetchAttempt attempt) {
        endAttempt(attempt);
        markHeld(attempt.chunk());
    }

    /**
     * Records the addresses that a peer named as holders of the chunk; only agents of this data
     * centre are asked.
     */
    public void redirected(FetchAttempt attempt, List<String> addresses) {
        endAttempt(attempt);
        if (mHeld.get(attempt.chunk())) {
            return;
        }
        List<FetchMember> holders =
                mSameDataCentre.stream()
                        .filter(member -> addresses.contains(member.address()))
                        .filter(member -> !member.vm().equals(mOwnVm))
                        .toList();
        stateOf(attempt.chunk()).recordRedirect(holders);
    }

    /**
     * Records that a peer responded, but did not send the chunk in time.
     *
     * @param progress increases with the bytes that the peer receives
     */
    public void pending(FetchAttempt attempt, long progress, Duration now) {
        endAttempt(attempt);
        if (mHeld.get(attempt.chunk()) || !(attempt.source() instanceof Source.Peer peer)) {
            return;
        }
        ChunkState state = stateOf(attempt.chunk());
        String vm = peer.member().vm();
        if (!peer.canWait()) {
            state.exclude(vm, now.plus(mLimits.stallTimeout()));
        } else if (state.stalledFor(progress, now).compareTo(mLimits.stallTimeout()) >= 0) {
            state.clearStall();
            state.exclude(vm, now.plus(mLimits.sourceBackoff()));
        } else {
            state.delayUntil(now.plus(jittered(mLimits.retryDelay().dividedBy(4))));
        }
    }

    /**
     * Records that an attempt failed.
     *
     * @param retryAfter delay that the source asks for; zero if it names none; ignored for a peer
     */
    public void failed(
            FetchAttempt attempt, AttemptFailure failure, Duration retryAfter, Duration now) {
        endAttempt(attempt);
        if (mHeld.get(attempt.chunk()) || failure == AttemptFailure.SUPERSEDED) {
            return;
        }
        if (attempt.source() instanceof Source.Peer peer) {
            peerFailed(peer, failure, now);
        } else {
            originFailed(attempt.chunk(), failure, retryAfter, now);
        }
    }

    /**
     * Records the response to {@link Step.RequestLease}: the number of fetches granted, which may
     * be zero.
     */
    public void leaseAnswered(int chunks, Duration now) {
        mLeasedFetches += chunks;
        if (chunks > 0) {
            mNextLeaseRequestAt = Duration.ZERO;
        } else {
            mLeaseRefusedUntil = now.plus(mLimits.sourceBackoff());
        }
    }

    private boolean hasCapacity(Duration now) {
        boolean canFetchFromOrigin =
                mOriginFetchesInFlight < mOriginFetchLimit
                        && mOriginPausedUntil.compareTo(now) <= 0;
        return mPeerRequestsInFlight < mLimits.maxPeerRequests() || canFetchFromOrigin;
    }

    /**
     * Returns the limit of this agent's concurrent origin fetches: the data centre's limit times
     * the fraction of this agent's missing chunks that it owned at the start, rounded up; at least
     * one.
     */
    private int originFetchLimit() {
        BitSet missingOwned = (BitSet) mOwnedAtStart.clone();
        missingOwned.andNot(mHeld);
        int missing = Math.max(1, mDigests.size() - mHeld.cardinality());
        int share =
                (mLimits.maxDataCentreOriginFetches() * missingOwned.cardinality() + missing - 1)
                        / missing;
        return Math.max(1, share);
    }

    private int maxRequestsPerPeer() {
        return Math.max(
                MIN_REQUESTS_PER_PEER,
                mLimits.maxPeerRequests() / Math.max(1, mSameDataCentre.size()));
    }

    private void startAttempt(int chunk, Duration now, List<Step> steps) {
        ChunkState state = stateOf(chunk);
        if (!state.isStartable(now, mLimits.hedgeAfter())) {
            return;
        }
        Optional<Source> source = chooseSource(chunk, state, now);
        if (source.isEmpty()) {
            return;
        }
        FetchAttempt attempt =
                new FetchAttempt(mNextId++, chunk, source.get(), state.redirects(), now);
        if (source.get() instanceof Source.Peer peer) {
            mPeerRequestsInFlight++;
            mPeerRequestsByVm.merge(peer.member().vm(), 1, Integer::sum);
        } else {
            mOriginFetchesInFlight++;
            state.countOriginFetch();
        }
        state.attempts().add(attempt);
        steps.add(new Step.StartAttempt(attempt));
    }

    private Optional<Source> chooseSource(int chunk, ChunkState state, Duration now) {
        @Nullable FetchMember hint = state.pollHint();
        if (hint != null && isEligible(hint, state, now)) {
            return fromPeer(hint, true);
        }
        List<FetchMember> ranked = rank(chunk);
        for (int i = 0; i < ranked.size(); i++) {
            FetchMember member = ranked.get(i);
            if (!member.vm().equals(mOwnVm)) {
                if (isEligible(member, state, now)) {
                    return fromPeer(member, true);
                }
            } else if (!state.isExcluded(ORIGIN, now)) {
                Optional<Source> probe = probe(ranked, i, state, now);
                return probe.isPresent() ? probe : fromOrigin(chunk, state, now);
            }
        }
        return fromOriginOrOtherDataCentre(chunk, state, now);
    }

    /**
     * Returns the first agent after this one in the ranking that can be asked now, as the source of
     * a chunk that this agent is due to fetch from the origin, because that agent may hold the
     * chunk already. Empty if there is none, or an agent has been asked for this chunk in this way
     * before.
     */
    private Optional<Source> probe(
            List<FetchMember> ranked, int ownIndex, ChunkState state, Duration now) {
        if (state.isProbed()) {
            return Optional.empty();
        }
        Optional<FetchMember> next =
                ranked.stream()
                        .skip(ownIndex + 1L)
                        .filter(member -> isEligible(member, state, now))
                        .findFirst();
        Optional<Source> request = next.flatMap(member -> fromPeer(member, false));
        if (request.isPresent()) {
            state.markProbed();
        }
        return request;
    }

    private Optional<Source> fromOrigin(int chunk, ChunkState state, Duration now) {
        if (mOriginPausedUntil.compareTo(now) > 0 || mOriginFetchesInFlight >= mOriginFetchLimit) {
            return Optional.empty();
        }
        if (mOwnedAtStart.get(chunk) && state.originFetches() == 0) {
            return Optional.of(new Source.Origin());
        }
        if (mLeasedFetches > 0) {
            mLeasedFetches--;
            return Optional.of(new Source.Origin());
        }
        mLeasesWanted++;
        return mLeaseRefusedUntil.compareTo(now) > 0
                ? fromOtherDataCentre(state, now)
                : Optional.empty();
    }

    private Optional<Source> fromOriginOrOtherDataCentre(
            int chunk, ChunkState state, Duration now) {
        return state.isExcluded(ORIGIN, now)
                ? fromOtherDataCentre(state, now)
                : fromOrigin(chunk, state, now);
    }

    private Optional<Source> fromOtherDataCentre(ChunkState state, Duration now) {
        for (FetchMember member : mOtherDataCentres) {
            if (isEligible(member, state, now)) {
                return fromPeer(member, false);
            }
        }
        return Optional.empty();
    }

    private Optional<Source> fromPeer(FetchMember member, boolean canWait) {
        boolean hasCapacity =
                mPeerRequestsInFlight < mLimits.maxPeerRequests()
                        && mPeerRequestsByVm.getOrDefault(member.vm(), 0) < maxRequestsPerPeer();
        return hasCapacity ? Optional.of(new Source.Peer(member, canWait)) : Optional.empty();
    }

    private boolean isEligible(FetchMember member, ChunkState state, Duration now) {
        Duration suspectUntil = mSuspectUntil.getOrDefault(member.vm(), Duration.ZERO);
        return suspectUntil.compareTo(now) <= 0
                && !state.isExcluded(member.vm(), now)
                && !state.isAttempting(member.vm());
    }

    private void peerFailed(Source.Peer peer, AttemptFailure failure, Duration now) {
        boolean isCorrupt = failure == AttemptFailure.WRONG;
        Duration backoff = isCorrupt ? mLimits.corruptSourceBackoff() : mLimits.sourceBackoff();
        mSuspectUntil.put(peer.member().vm(), now.plus(backoff));
    }

    private void originFailed(
            int chunk, AttemptFailure failure, Duration retryAfter, Duration now) {
        ChunkState state = stateOf(chunk);
        if (failure == AttemptFailure.THROTTLED) {
            state.uncountOriginFetch();
            Duration backoff = retryAfter.isZero() ? mLimits.retryDelay() : retryAfter;
            mOriginPausedUntil = now.plus(backoff).plus(jittered(backoff.dividedBy(2)));
            return;
        }
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, state.countFailure());
        state.delayUntil(now.plus(jittered(mLimits.retryDelay().multipliedBy(1L << doublings))));
        if (failure != AttemptFailure.WRONG) {
            state.exclude(ORIGIN, now.plus(mLimits.sourceBackoff()));
        }
    }

    private void endAttempt(FetchAttempt attempt) {
        @Nullable ChunkState state = mStates.get(attempt.chunk());
        if (state != null) {
            state.attempts().removeIf(running -> running.id() == attempt.id());
        }
        if (attempt.source() instanceof Source.Peer peer) {
            mPeerRequestsInFlight--;
            mPeerRequestsByVm.merge(peer.member().vm(), -1, Integer::sum);
        } else {
            mOriginFetchesInFlight--;
        }
    }

    private ChunkState stateOf(int chunk) {
        return mStates.computeIfAbsent(chunk, key -> new ChunkState());
    }

    private List<FetchMember> rank(int chunk) {
        return mRanks.computeIfAbsent(
                chunk, key -> mRanking.rank(mDigests.get(key), mSameDataCentre));
    }

    private boolean isOwner(List<FetchMember> ranked) {
        return ranked.isEmpty() || ranked.get(0).vm().equals(mOwnVm);
    }

    private Duration jittered(Duration max) {
        return Duration.ofNanos(max.toNanos() / 2 + mRandom.nextLong(max.toNanos() / 2 + 1));
    }
}
