package org.sequoiahill.daemon.process.log;

import java.util.List;
import java.util.Optional;

/**
 * What the core asks for, in this order: sync the state, send, restore and apply, answer.
 *
 * @param hardState term and vote, where they changed
 * @param installedSnapshot snapshot that replaces all that is stored, where one was received
 * @param appended entries to store; the first cuts off what is stored from its index on
 * @param messages messages to send once all above is synced
 * @param committed entries to apply, in order
 * @param readyReads reads that may be answered once {@code committed} is applied
 * @param failedReads reads that can't be answered here
 * @param adoptedIncarnation incarnation to take for the empty folder, where the group knows a
 *     higher one
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
    /** Returns whether something must be synced. */
    public boolean hasState() {
        return hardState.isPresent() || installedSnapshot.isPresent() || !appended.isEmpty();
    }
}
