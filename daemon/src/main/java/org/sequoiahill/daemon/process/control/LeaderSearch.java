package org.sequoiahill.daemon.process.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which store to ask next in one search for the leader; each store is asked twice at most.
 */
public final class LeaderSearch {
    private static final int ASKS_PER_STORE = 2;

    private final List<String> mStores;
    private final Map<String, Integer> mAsked = new HashMap<>();
    private Optional<String> mHint;

    private LeaderSearch(List<String> stores, Optional<String> lastLeader) {
        mStores = stores;
        mHint = lastLeader;
    }

    /**
     * Returns a search that has asked nobody.
     *
     * @param stores VMs of all stores
     * @param lastLeader VM that answered as the leader before
     */
    public static LeaderSearch over(List<String> stores, Optional<String> lastLeader) {
        return new LeaderSearch(List.copyOf(stores), lastLeader);
    }

    /** Returns the store to ask now; empty where the search has failed. */
    public Optional<String> next() {
        Optional<String> next = mHint.filter(this::mayAskAgain).or(this::firstUnasked);
        mHint = Optional.empty();
        next.ifPresent(store -> mAsked.merge(store, 1, Integer::sum));
        return next;
    }

    /** Notes that a store has named the leader, or that it knows none. */
    public void onHint(Optional<String> leader) {
        mHint = leader;
    }

    private boolean mayAskAgain(String store) {
        return mStores.contains(store) && mAsked.getOrDefault(store, 0) < ASKS_PER_STORE;
    }

    private Optional<String> firstUnasked() {
        return mStores.stream().filter(store -> !mAsked.containsKey(store)).findFirst();
    }
}
