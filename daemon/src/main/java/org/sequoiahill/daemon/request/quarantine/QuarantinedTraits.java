package org.sequoiahill.daemon.request.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.process.fleet.EntryRank;
import org.sequoiahill.daemon.request.quarantine.QuarantineDecision.Verdict;
import org.tinylog.Logger;

/**
 * The traits under quarantine at one entry, and when a request may test whether one still crashes
 * endpoints. The entries take turns to admit such probes. Not thread-safe.
 */
final class QuarantinedTraits {
    /** Time until the first probe; doubles with each failed one. */
    private static final Duration TIME_TO_PROBE = Duration.ofMinutes(10);

    private static final int MAX_PROBE_DOUBLINGS = 6;

    /** Time for which the right to admit a probe stays with one entry. */
    private static final Duration PROBE_TURN = Duration.ofSeconds(30);

    /** Time without a probe after which requests no longer seem to have a trait. */
    private static final Duration UNUSED_RETENTION = Duration.ofDays(7);

    private final Map<String, State> mStates = new HashMap<>();

    private static final class State {
        private final Duration mSince;
        private final int mFailedProbes;
        private @Nullable Duration mProbedAt;

        State(Duration since, int failedProbes) {
            mSince = since;
            mFailedProbes = failedProbes;
        }

        Duration probeAt() {
            return mSince.plus(
                    TIME_TO_PROBE.multipliedBy(1L << Math.min(mFailedProbes, MAX_PROBE_DOUBLINGS)));
        }

        boolean hasProbeInProgress(Duration now) {
            return mProbedAt != null && now.minus(mProbedAt).compareTo(PROBE_TURN) < 0;
        }
    }

    /** Decides on a request that has arrived. */
    QuarantineDecision admit(List<String> traits, Duration now, EntryRank rank) {
        QuarantineDecision decision = QuarantineDecision.ADMITTED;
        for (String trait : traits) {
            State state = mStates.get(trait);
            if (state == null) {
                continue;
            }
            if (decision.isProbe() || !isProbeDue(state, now, rank)) {
                return refusal(trait, state, now);
            }
            state.mProbedAt = now;
            Logger.info("a request is admitted to probe trait {}", trait);
            decision = new QuarantineDecision(Verdict.PROBE, trait, Duration.ZERO);
        }
        return decision;
    }

    /** Decides on a request that is no probe and is about to be sent. */
    QuarantineDecision recheck(List<String> traits, Duration now) {
        for (String trait : traits) {
            State state = mStates.get(trait);
            if (state != null) {
                return refusal(trait, state, now);
            }
        }
        return QuarantineDecision.ADMITTED;
    }

    private static QuarantineDecision refusal(String trait, State state, Duration now) {
        Duration wait = state.probeAt().minus(now);
        return new QuarantineDecision(
                Verdict.REFUSED, trait, wait.compareTo(PROBE_TURN) > 0 ? wait : PROBE_TURN);
    }

    private static boolean isProbeDue(State state, Duration now, EntryRank rank) {
        Duration overdue = now.minus(state.probeAt());
        return !overdue.isNegative()
                && !state.hasProbeInProgress(now)
                && overdue.dividedBy(PROBE_TURN) % rank.entryCount() == rank.rank();
    }

    /** Puts a trait under quarantine, or extends its quarantine after a failed probe. */
    void put(String trait, Duration now, int failedProbes) {
        mStates.put(trait, new State(now, failedProbes));
    }

    void remove(String trait) {
        mStates.remove(trait);
    }

    boolean contains(String trait) {
        return mStates.containsKey(trait);
    }

    /** Returns a copy of the traits. */
    Set<String> traits() {
        return Set.copyOf(mStates.keySet());
    }

    /** Returns the number of failed probes of a trait, -1 if it is not under quarantine. */
    int failedProbes(String trait) {
        State state = mStates.get(trait);
        return state == null ? -1 : state.mFailedProbes;
    }

    /** Returns since when a trait is under quarantine; zero if it is not. */
    Duration since(String trait) {
        State state = mStates.get(trait);
        return state == null ? Duration.ZERO : state.mSince;
    }

    /** Returns whether no request has had a trait for a long time. */
    boolean isUnused(String trait, Duration now) {
        State state = mStates.get(trait);
        return state != null && now.minus(state.probeAt()).compareTo(UNUSED_RETENTION) > 0;
    }

    boolean isEmpty() {
        return mStates.isEmpty();
    }

    int size() {
        return mStates.size();
    }
}
