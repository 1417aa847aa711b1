package org.sequoiahill.daemon.process.controller;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Budget of the downloads from the origin beyond the first copy of each data centre.
 *
 * <p>The leader grants one half of the remaining copies. The other half is divided equally among
 * the data centres, so that one that is cut off from the leader can continue. Reads no clock. Not
 * thread-safe.
 */
public final class OriginBudget {
    private static final int STANDARD_COPIES = 4;
    private static final Duration STANDARD_WINDOW = Duration.ofMinutes(10);
    private static final int HALVES = 2;
    private static final int MAX_VERSIONS = 1_000;

    private final int mExtraCopies;
    private final int mDataCentres;
    private final Duration mWindow;
    private final Map<String, GrantedChunks> mGranted = new HashMap<>();

    private OriginBudget(int extraCopies, int dataCentres, Duration window) {
        mExtraCopies = extraCopies;
        mDataCentres = dataCentres;
        mWindow = window;
    }

    /**
     * Returns a budget.
     *
     * @param copies copies of a version that the origin may send within a window
     * @param dataCentres number of data centres, each of which downloads one copy without a lease
     * @param window time after which the full budget is available again
     */
    public static OriginBudget of(int copies, int dataCentres, Duration window) {
        return new OriginBudget(
                Math.max(0, copies - dataCentres), Math.max(1, dataCentres), window);
    }

    /** Returns the budget that daemons use for a number of data centres. */
    public static OriginBudget standard(int dataCentres) {
        return of(STANDARD_COPIES, dataCentres, STANDARD_WINDOW);
    }

    /**
     * Grants an agent the download of up to {@code requested} chunks of a version; returns how many
     * are granted.
     */
    public int grant(String version, int versionChunks, int requested, Duration now) {
        return grantUpTo(version, versionChunks * mExtraCopies / HALVES, requested, now);
    }

    /**
     * Grants this agent the download of up to {@code requested} chunks while no leader can be
     * reached: from its equal part of the data centre's share, which is at least one chunk per
     * window. Returns how many are granted.
     */
    public int grantWithoutLeader(
            String version, int versionChunks, int agents, int requested, Duration now) {
        int share = versionChunks * mExtraCopies / HALVES / mDataCentres / Math.max(1, agents);
        return grantUpTo(version, Math.max(1, share), requested, now);
    }

    private int grantUpTo(String version, int limit, int requested, Duration now) {
        mGranted.values().removeIf(grants -> grants.mStart.plus(mWindow).compareTo(now) <= 0);
        if (mGranted.size() >= MAX_VERSIONS && !mGranted.containsKey(version)) {
            return 0;
        }
        GrantedChunks grants = mGranted.computeIfAbsent(version, key -> new GrantedChunks(now));
        int granted = Math.max(0, Math.min(requested, limit - grants.mChunks));
        grants.mChunks += granted;
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
