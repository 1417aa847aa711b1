package org.sequoiahill.daemon.process.log;

import java.util.Optional;

/**
 * What a store must have synced before it answers.
 *
 * @param cluster number of the founded group; 0 before a store has joined
 * @param term highest term seen
 * @param vote whom the store has voted for in that term
 */
public record HardState(long cluster, long term, Optional<StoreId> vote) {
    /** State of a store that has joined no group. */
    public static final HardState NONE = new HardState(0, 0, Optional.empty());
}
