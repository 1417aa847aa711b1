package org.sequoiahill.daemon.request.direct;

import java.time.Duration;

/**
 * Spaces the requests that one entry sends to a cold endpoint.
 *
 * <p>All entries together must stay below what a cold endpoint bears in any second, and they don't
 * talk about single requests. So they take turns by the clock: each may send one request in a short
 * slot of its own, the slots of all follow one another, and a slot that passes unused is lost, as
 * entries that saved theirs up would use them at the same moment. The end of the cold phase, which
 * every entry knows from the same report, is where the slots are counted from. Not safe for several
 * threads.
 */
final class ColdStartPacer {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Part of the rate that is used; the rest is for entries that count the others wrongly. */
    private static final double RATE_USE_RATIO = 0.8;

    /** Part of the time between two of its slots for which an entry's slot lasts. */
    private static final double SLOT_RATIO = 0.15;

    /** Longest slot; as many slots as begin within it may be used in one second more. */
    private static final Duration MAX_SLOT = Duration.ofMillis(400);

    /** Change of the end of a cold phase from which it counts as another phase. */
    private static final Duration PHASE_CHANGE_THRESHOLD = Duration.ofSeconds(1);

    private Duration mPhaseEnd = Duration.ZERO;
    private Duration mLastSentAt = Duration.ZERO;
    private boolean mHasSent;

    /**
     * Returns whether a request may be sent now.
     *
     * @param coldUntil end of the cold phase
     * @param rate requests a second that the endpoint bears from all entries
     */
    boolean maySend(Duration now, Duration coldUntil, double rate, EntryRank share) {
        if (coldUntil.minus(mPhaseEnd).abs().compareTo(PHASE_CHANGE_THRESHOLD) > 0) {
            mPhaseEnd = coldUntil;
        }
        long interval = (long) (NANOS_PER_SECOND * share.entryCount() / (rate * RATE_USE_RATIO));
        long slot = Math.min((long) (interval * SLOT_RATIO), MAX_SLOT.toNanos());
        long offset = interval / share.entryCount() * share.rank();
        long position = Math.floorMod(now.minus(mPhaseEnd).toNanos() - offset, interval);
        return position < slot && !(mHasSent && now.minus(mLastSentAt).toNanos() < interval - slot);
    }

    /** Notes a request. */
    void recordSent(Duration now) {
        mLastSentAt = now;
        mHasSent = true;
    }
}
