package org.sequoiahill.daemon.process.log;

import java.util.List;
import java.util.Optional;

/**
 * What the core asks for, in this order: sync the state, send, restore and apply, answer.
 *
 * @param hard term and vote, where they changed
 * @param installed snapshot that replaces all that is stored, where one was received
 * @param appended entries to store; the first cuts off what is stored from its index on
 * @param messages messages to send once all above is synced
 * @param committed entries to apply, in order
 * @param readyReads reads that may be answered once {@code committed} is applied
 * @param failedReads reads that can't be answered here
 * @param adopted incarnation to take for the empty folder, where the group knows a higher one
 */
public record Outputs(
        Optional<HardState> hard,
        Optional<Snapshot> installed,
        List<Entry> appended,
        List<Message> messages,
        List<Entry> committed,
        List<Long> readyReads,
        List<Long> failedReads,
        Optional<Long> adopted) {
    /** Returns whether something must be synced. */
    public boolean hasState() {
        return hard.isPresent() || installed.isPresent() || !appended.isEmpty();
    }
}
