package org.sequoiahill.daemon.process.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which store to call next in one search for the leader; each store is called at most
 * twice.
 */
public final class LeaderSearch {
    private static final int MAX_CALLS_PER_STORE = 2;

    private final List<String> mStores;
    private final Map<String, Integer> mCallCounts = new HashMap<>();
    private Optional<String> mHint;

    private LeaderSearch(List<String> stores, Optional<String> lastLeader) {
        mStores = stores;
        mHint = lastLeader;
    }

    /**
     * Returns a search that has not called any store yet.
     *
     * @param stores VMs of all stores
     * @param lastLeader VM that last replied as the leader
     */
    public static LeaderSearch over(List<String> stores, Optional<String> lastLeader) {
        return new LeaderSearch(List.copyOf(stores), lastLeader);
    }

    /** Returns the store to call now; empty if the search has failed. */
    public Optional<String> next() {
        Optional<String> next = mHint.filter(this::mayCall).or(this::firstNotCalled);
        mHint = Optional.empty();
        next.ifPresent(store -> mCallCounts.merge(store, 1, Integer::sum));
        return next;
    }

    /** Records that a store has named the leader, or that it knows none. */
    public void onHint(Optional<String> leader) {
        mHint = leader;
    }

    private boolean mayCall(String store) {
        return mStores.contains(store) && mCallCounts.getOrDefault(store, 0) < MAX_CALLS_PER_STORE;
    }

    private Optional<String> firstNotCalled() {
        return mStores.stream().filter(store -> !mCallCounts.containsKey(store)).findFirst();
    }
}
