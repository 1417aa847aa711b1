package org.sequoiahill.daemon.process.log;

import java.util.List;

/**
 * What storage holds of a group.
 *
 * @param hardState term and vote
 * @param snapshot last snapshot
 * @param baseIndex index before the first entry
 * @param baseTerm term of the entry there
 * @param entries entries in order
 */
public record StoredState(
        HardState hardState,
        Snapshot snapshot,
        long baseIndex,
        long baseTerm,
        List<Entry> entries) {
    /** What an empty data folder holds. */
    public static final StoredState EMPTY =
            new StoredState(HardState.NONE, Snapshot.NONE, 0, 0, List.of());

    /** Returns the last index held. */
    public long lastIndex() {
        return baseIndex + entries.size();
    }
}
