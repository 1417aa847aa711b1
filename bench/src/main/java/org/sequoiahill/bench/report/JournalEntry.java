package org.sequoiahill.bench.report;

import java.time.Instant;
import java.util.List;

/**
 * The journal entry of one run of the users' bench.
 *
 * @param startedAt start of the run
 * @param site name of the deployment
 * @param command command of the users' bench, such as {@code score}
 * @param why purpose of the run; empty if none was given
 * @param days result of each day; empty if the run was aborted
 */
record JournalEntry(
        Instant startedAt, String site, String command, String why, List<PlayedDayResult> days) {
    /** Copies the list. */
    JournalEntry {
        days = List.copyOf(days);
    }
}
