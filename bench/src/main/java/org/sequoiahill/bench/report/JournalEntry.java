package org.sequoiahill.bench.report;

import java.time.Instant;
import java.util.List;

/**
 * One play that the journal holds.
 *
 * @param startedAt when it began
 * @param site name of the deployment
 * @param command what was played: one day, a score, a hunt
 * @param why what the play was to show, empty where nobody said
 * @param days results by day, empty where the play was cut off
 */
record JournalEntry(
        Instant startedAt, String site, String command, String why, List<PlayedDayResult> days) {
    /** Copies the list. */
    JournalEntry {
        days = List.copyOf(days);
    }
}
