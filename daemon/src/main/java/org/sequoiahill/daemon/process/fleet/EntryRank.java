package org.sequoiahill.daemon.process.fleet;

import java.util.List;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/**
 * This entry's position among the entries that share the endpoints.
 *
 * @param rank number of entries that sort before this one
 * @param entryCount number of running entries, including this one
 */
public record EntryRank(int rank, int entryCount) {
    /**
     * Returns the rank of the entry on a VM. The entry count includes it even if the snapshot
     * doesn't contain it.
     */
    public static EntryRank of(FleetSnapshot snapshot, String vm) {
        List<Participant> entries = snapshot.participants(ParticipantRole.ENTRY);
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
