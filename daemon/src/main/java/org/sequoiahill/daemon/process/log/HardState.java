package org.sequoiahill.daemon.process.log;

import java.util.Optional;

/**
 * State that a store must sync to disk before it sends messages that depend on it.
 *
 * @param cluster number of the bootstrapped group; 0 before the store has joined one
 * @param term highest term known to the store
 * @param vote store that this one voted for in that term
 */
public record HardState(long cluster, long term, Optional<StoreId> vote) {
    /** State of a store that has not joined a group. */
    public static final HardState NONE = new HardState(0, 0, Optional.empty());
}
