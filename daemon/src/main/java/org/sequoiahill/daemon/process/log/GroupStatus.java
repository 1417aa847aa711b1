package org.sequoiahill.daemon.process.log;

import java.time.Duration;
import java.util.Optional;

/**
 * What other threads may know of a group.
 *
 * @param role what this store does
 * @param term highest term seen
 * @param leader leader, where one is known
 * @param leaseUntil until when this store alone leads
 * @param members members as this store knows them
 * @param lastLeaderContact when a leader was last heard
 * @param lastLeaderContact when a leader was last heard
 * @param isCaughtUp whether all that was committed before the current term is applied here
 */
record GroupStatus(
        LogRole role,
        long term,
        Optional<StoreId> leader,
        Optional<Duration> leaseUntil,
        Membership members,
        Duration lastLeaderContact,
        boolean isCaughtUp) {
    static GroupStatus of(LogCore core, boolean isApplied) {
        return new GroupStatus(
                core.role(),
                core.term(),
                core.leader(),
                core.leaseUntil(),
                core.members(),
                core.lastLeaderContact(),
                isApplied && core.isCaughtUp());
    }
}
