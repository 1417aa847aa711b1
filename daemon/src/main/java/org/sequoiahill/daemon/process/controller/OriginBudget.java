package org.sequoiahill.daemon.process.controller;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Shares out the draws from the origin that go beyond the first copy of each region.
 *
 * <p>Half of what is left of the copies is granted by the leader; the other half belongs to the
 * regions in equal shares, so that one that is cut off can go on. Reads no clock. Not safe for use
 * by several threads.
 */
public final class OriginBudget {
    private static final int STANDARD_COPIES = 4;
    private static final Duration STANDARD_WINDOW = Duration.ofMinutes(10);
    private static final int HALVES = 2;
    private static final int MAX_VERSIONS = 1_000;

    private final int mExtraCopies;
    private final int mRegions;
    private final Duration mWindow;
    private final Map<String, GrantedChunks> mGranted = new HashMap<>();

    private OriginBudget(int spareCopies, int regions, Duration window) {
        mExtraCopies = spareCopies;
        mRegions = regions;
        mWindow = window;
    }

    /**
     * Returns a budget.
     *
     * @param copies copies of a version that the origin may send in a window
     * @param regions regions, each of which draws one copy without a lease
     * @param window time after which the budget is whole again
     */
    public static OriginBudget of(int copies, int regions, Duration window) {
        return new OriginBudget(Math.max(0, copies - regions), Math.max(1, regions), window);
    }

    /** Returns the budget that daemons use, for a number of regions. */
    public static OriginBudget standard(int regions) {
        return of(STANDARD_COPIES, regions, STANDARD_WINDOW);
    }

    /** Grants draws of a version to an agent; from zero to those wanted. */
    public int grant(String version, int versionChunks, int wanted, Duration now) {
        return grantUpTo(version, versionChunks * mExtraCopies / HALVES, wanted, now);
    }

    /** Grants draws to this agent while no leader can be reached. */
    public int grantWithoutLeader(
            String version, int versionChunks, int agents, int wanted, Duration now) {
        int share = versionChunks * mExtraCopies / HALVES / mRegions / Math.max(1, agents);
        return grantUpTo(version, Math.max(1, share), wanted, now);
    }

    private int grantUpTo(String version, int limit, int wanted, Duration now) {
        mGranted.values().removeIf(spent -> spent.mStart.plus(mWindow).compareTo(now) <= 0);
        if (mGranted.size() >= MAX_VERSIONS && !mGranted.containsKey(version)) {
            return 0;
        }
        GrantedChunks spent = mGranted.computeIfAbsent(version, key -> new GrantedChunks(now));
        int granted = Math.max(0, Math.min(wanted, limit - spent.mChunks));
        spent.mChunks += granted;
        return granted;
    }

    private static final class GrantedChunks {
        private final Duration mStart;
        private int mChunks;

        GrantedChunks(Duration start) {
            mStart = start;
        }
    }
}
