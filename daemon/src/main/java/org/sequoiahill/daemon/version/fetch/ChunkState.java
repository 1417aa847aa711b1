package org.sequoiahill.daemon.version.fetch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** What a planner knows about a chunk that is not held yet. */
final class ChunkState {
    private static final int MAX_HINTS = 8;

    private final List<FetchAttempt> mAttempts = new ArrayList<>();
    private final Map<String, Duration> mExcludedUntil = new HashMap<>();

    /** Agents that a redirect named as holders and that have not been asked yet. */
    private final Deque<FetchMember> mHints = new ArrayDeque<>();

    private Duration mNotBefore = Duration.ZERO;
    private @Nullable Duration mStalledSince;
    private boolean mIsProbed;
    private long mProgress;
    private int mOriginFetches;
    private int mFailures;
    private int mRedirects;

    List<FetchAttempt> attempts() {
        return mAttempts;
    }

    /**
     * Returns whether another attempt may start: if no delay is in effect, and no attempt is
     * running or only one, which has run for {@code hedgeAfter}.
     */
    boolean isStartable(Duration now, Duration hedgeAfter) {
        if (mNotBefore.compareTo(now) > 0) {
            return false;
        }
        return mAttempts.isEmpty()
                || (mAttempts.size() == 1
                        && mAttempts.get(0).startedAt().plus(hedgeAfter).compareTo(now) <= 0);
    }

    boolean isAttempting(String vm) {
        return mAttempts.stream()
                .anyMatch(
                        attempt ->
                                attempt.source() instanceof Source.Peer peer
                                        && peer.member().vm().equals(vm));
    }

    void exclude(String source, Duration until) {
        mExcludedUntil.put(source, until);
    }

    boolean isExcluded(String source, Duration now) {
        Duration until = mExcludedUntil.get(source);
        return until != null && until.compareTo(now) > 0;
    }

    void recordRedirect(List<FetchMember> holders) {
        mRedirects++;
        for (FetchMember holder : holders) {
            if (mHints.size() < MAX_HINTS) {
                mHints.add(holder);
            }
        }
    }

    int redirects() {
        return mRedirects;
    }

    @Nullable FetchMember pollHint() {
        return mHints.poll();
    }

    void delayUntil(Duration notBefore) {
        mNotBefore = notBefore;
    }

    /**
     * Returns the time since this method was first called with this progress; a call with another
     * progress, or {@link #clearStall}, starts again from zero.
     */
    Duration stalledFor(long progress, Duration now) {
        if (mStalledSince == null || progress != mProgress) {
            mStalledSince = now;
            mProgress = progress;
        }
        return now.minus(mStalledSince);
    }

    void clearStall() {
        mStalledSince = null;
    }

    /** Returns whether another agent was asked for the chunk before a fetch from the origin. */
    boolean isProbed() {
        return mIsProbed;
    }

    void markProbed() {
        mIsProbed = true;
    }

    int originFetches() {
        return mOriginFetches;
    }

    void countOriginFetch() {
        mOriginFetches++;
    }

    /** Reverts the count of a fetch that the origin refused and sent no bytes for. */
    void uncountOriginFetch() {
        mOriginFetches--;
    }

    int countFailure() {
        return ++mFailures;
    }
}
