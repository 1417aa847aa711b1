package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.sequoiahill.daemon.process.fleet.EntryRank;

/**
 * Limits the rate of requests that one entry sends to a cold endpoint.
 *
 * <p>All entries together must stay below the rate that a cold endpoint tolerates in any second,
 * without coordinating on single requests. Each entry therefore sends at most one request in a
 * short time slot of its own; the slots of the entries begin one after another, at equal distances.
 * An unused slot is lost: if entries saved up their slots, they would use them at the same moment.
 * Slots are aligned to the end of the cold phase, which all entries know from the same report. Not
 * thread-safe.
 */
final class ColdStartPacer {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Fraction of the rate that is used; the rest allows for entries that miscount the others. */
    private static final double RATE_USE_RATIO = 0.8;

    /** Length of an entry's slot as a fraction of the interval between two of its slots. */
    private static final double SLOT_RATIO = 0.15;

    /**
     * Maximum slot length. A request may be sent at any time in its slot, so a window of one second
     * may also contain the requests of slots that begin up to this much earlier.
     */
    private static final Duration MAX_SLOT = Duration.ofMillis(400);

    /** Change of the end of the cold phase above which it counts as a new phase. */
    private static final Duration PHASE_CHANGE_THRESHOLD = Duration.ofSeconds(1);

    private Duration mPhaseEnd = Duration.ZERO;
    private Duration mLastSentAt = Duration.ZERO;
    private boolean mHasSent;

    /**
     * Returns whether a request may be sent now.
     *
     * @param coldUntil end of the cold phase
     * @param rate requests per second that the endpoint tolerates from all entries together
     * @param rank this entry's rank among the entries
     */
    boolean maySend(Duration now, Duration coldUntil, double rate, EntryRank rank) {
        if (coldUntil.minus(mPhaseEnd).abs().compareTo(PHASE_CHANGE_THRESHOLD) > 0) {
            mPhaseEnd = coldUntil;
        }
        long interval = (long) (NANOS_PER_SECOND * rank.entryCount() / (rate * RATE_USE_RATIO));
        long slot = Math.min((long) (interval * SLOT_RATIO), MAX_SLOT.toNanos());
        long offset = interval / rank.entryCount() * rank.rank();
        long position = Math.floorMod(now.minus(mPhaseEnd).toNanos() - offset, interval);
        return position < slot && !(mHasSent && now.minus(mLastSentAt).toNanos() < interval - slot);
    }

    /** Records that a request was sent. */
    void recordSent(Duration now) {
        mLastSentAt = now;
        mHasSent = true;
    }
}
