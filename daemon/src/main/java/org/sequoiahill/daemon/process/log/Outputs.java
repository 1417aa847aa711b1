package org.sequoiahill.daemon.process.log;

import java.util.List;
import java.util.Optional;

/**
 * Work that the core requests, in this order: store and sync, send, restore and apply, complete
 * reads.
 *
 * @param hardState cluster, term and vote, if they changed
 * @param installedSnapshot snapshot that replaces everything stored, if one was received or the
 *     group was bootstrapped
 * @param appended entries to store; they replace stored entries from the first one's index on
 * @param messages messages to send once all above is synced
 * @param committed entries to apply, in order
 * @param readyReads ids of reads that complete once {@code committed} is applied
 * @param failedReads ids of reads that this store can't serve
 * @param adoptedIncarnation incarnation that the empty folder must adopt, if the group knows a
 *     higher one than its own
 */
public record Outputs(
        Optional<HardState> hardState,
        Optional<Snapshot> installedSnapshot,
        List<Entry> appended,
        List<Message> messages,
        List<Entry> committed,
        List<Long> readyReads,
        List<Long> failedReads,
        Optional<Long> adoptedIncarnation) {
    /** Returns whether there is log state to store. */
    public boolean hasState() {
        return hardState.isPresent() || installedSnapshot.isPresent() || !appended.isEmpty();
    }
}
