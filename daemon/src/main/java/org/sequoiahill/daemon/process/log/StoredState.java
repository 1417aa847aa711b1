package org.sequoiahill.daemon.process.log;

import java.util.List;

/**
 * State of a group as read from storage.
 *
 * @param hardState cluster, term and vote
 * @param snapshot last snapshot
 * @param baseIndex index before the first entry
 * @param baseTerm term of the entry at {@code baseIndex}
 * @param entries entries in order
 */
public record StoredState(
        HardState hardState,
        Snapshot snapshot,
        long baseIndex,
        long baseTerm,
        List<Entry> entries) {
    /** State of an empty data folder. */
    public static final StoredState EMPTY =
            new StoredState(HardState.NONE, Snapshot.NONE, 0, 0, List.of());

    /** Returns the index of the last entry. */
    public long lastIndex() {
        return baseIndex + entries.size();
    }
}
