package org.sequoiahill.daemon.process.log;

import java.time.Duration;
import java.util.Optional;

/**
 * Status of a group as published to other threads.
 *
 * @param role role of this store
 * @param term highest term known to this store
 * @param leader leader, if known
 * @param leaseUntil until when no other store can lead; empty unless this store leads, and a time
 *     in the past if it leads without a lease
 * @param members members known to this store
 * @param lastLeaderContact when a message of a leader was last received, or when the store was
 *     opened or joined its group if that is later
 * @param isCaughtUp whether all entries committed before the current term are applied here
 */
record GroupStatus(
        LogRole role,
        long term,
        Optional<StoreId> leader,
        Optional<Duration> leaseUntil,
        Membership members,
        Duration lastLeaderContact,
        boolean isCaughtUp) {
    /**
     * Returns the current status of a group.
     *
     * @param isFullyApplied whether the state machine has applied all committed entries
     */
    static GroupStatus of(LogCore core, boolean isFullyApplied) {
        return new GroupStatus(
                core.role(),
                core.term(),
                core.leader(),
                core.leaseUntil(),
                core.members(),
                core.lastLeaderContact(),
                isFullyApplied && core.isCaughtUp());
    }
}
