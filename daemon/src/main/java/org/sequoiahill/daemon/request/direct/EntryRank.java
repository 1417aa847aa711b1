package org.sequoiahill.daemon.request.direct;

import java.util.List;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/**
 * This entry's place among the entries that share the endpoints.
 *
 * @param rank number of entries that go before this one
 * @param entryCount entries that run, this one among them
 */
record EntryRank(int rank, int entryCount) {
    /** Returns the share of a VM; one that the picture does not know yet comes last. */
    static EntryRank of(FleetSnapshot picture, String vm) {
        List<Participant> entries = picture.participants(ParticipantRole.ENTRY);
        int rank = 0;
        boolean isKnown = false;
        for (Participant entry : entries) {
            if (entry.getVm().compareTo(vm) < 0) {
                rank++;
            }
            isKnown |= entry.getVm().equals(vm);
        }
        return new EntryRank(rank, Math.max(1, isKnown ? entries.size() : entries.size() + 1));
    }
}
