package org.sequoiahill.daemon.process.directory;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahill.protocol.gen.Announcement;

/**
 * What an agent tells which entry, and when: changes go to three entries, renewals to the first of
 * them that answers.
 *
 * <p>Not safe for several threads.
 */
final class AnnounceSchedule {
    /** Entries that are told of a change. */
    static final int ENTRIES_PER_CHANGE = 3;

    private static final Duration FAILURE_PAUSE = Duration.ofSeconds(3);

    private final List<String> mRanked;
    private final Map<String, Told> mTold = new HashMap<>();
    private Duration mRenewal = Duration.ofSeconds(1);
    private Announcement mLast = new Announcement();
    private long mSequence;
    private long mAnnounced;

    /** Makes a schedule over entries, ranked by rendezvous hashing. */
    AnnounceSchedule(String vm, List<String> entries) {
        mRanked =
                entries.stream()
                        .sorted(
                                Comparator.comparingLong(
                                        entry -> Hashes.mix(Hashes.of(vm) ^ Hashes.of(entry))))
                        .toList();
    }

    /** What an entry is to be told. */
    enum Kind {
        /** The whole announcement. */
        ANNOUNCE,
        /** That the announcement that it holds is still true. */
        RENEW
    }

    /**
     * Something to be told.
     *
     * @param entry VM of the entry
     * @param kind what
     * @param announced sequence of the announcement
     * @param sequence sequence of this message
     * @param isSpread whether the entry is to tell the others
     */
    record Message(
            String entry, Kind kind, long announced, long sequence, boolean shouldPropagate) {}

    /** Returns what is to be told now. */
    List<Message> due(Announcement current, Duration now) {
        Announcement identity = withoutLoad(current);
        if (!identity.equals(mLast)) {
            mLast = identity;
            mAnnounced = ++mSequence;
        }
        List<String> entries = reachable(now);
        return entries.stream()
                .filter(entry -> isDue(entry, entry.equals(entries.get(0)), now))
                .map(entry -> messageTo(entry, entry.equals(entries.get(0)), now))
                .toList();
    }

    /** Notes that an entry holds the announcement. */
    void onAcknowledged(String entry, long announced, Duration leaseOfEntry) {
        told(entry).mHolds = Math.max(told(entry).mHolds, announced);
        mRenewal = leaseOfEntry.dividedBy(4);
    }

    /** Notes that an entry does not hold the announcement that was renewed. */
    void onUnknownAnnouncement(String entry) {
        told(entry).mHolds = 0;
        told(entry).mNext = Duration.ZERO;
    }

    /** Notes that an entry did not answer; another takes its place for a while. */
    void onFailure(String entry, Duration now) {
        told(entry).mHolds = 0;
        told(entry).mAvoidUntil = now.plus(FAILURE_PAUSE);
    }

    private List<String> reachable(Duration now) {
        List<String> reachable =
                mRanked.stream()
                        .filter(entry -> told(entry).mAvoidUntil.compareTo(now) <= 0)
                        .limit(ENTRIES_PER_CHANGE)
                        .toList();
        return reachable.isEmpty()
                ? mRanked.stream().limit(ENTRIES_PER_CHANGE).toList()
                : reachable;
    }

    private boolean isDue(String entry, boolean isFirst, Duration now) {
        Told told = told(entry);
        if (told.mHolds < mAnnounced && told.mSent < mAnnounced) {
            return true;
        }
        boolean isTime = told.mNext.compareTo(now) <= 0;
        return isTime && (isFirst || told.mHolds < mAnnounced);
    }

    private Message messageTo(String entry, boolean isFirst, Duration now) {
        Told told = told(entry);
        Kind kind = told.mHolds < mAnnounced ? Kind.ANNOUNCE : Kind.RENEW;
        told.mNext = now.plus(mRenewal);
        told.mSent = mAnnounced;
        return new Message(entry, kind, mAnnounced, ++mSequence, isFirst);
    }

    private Told told(String entry) {
        return mTold.computeIfAbsent(entry, name -> new Told());
    }

    private static Announcement withoutLoad(Announcement announcement) {
        Announcement identity = new Announcement(announcement);
        return identity.setRunning(0)
                .setWaiting(0)
                .setLimit(0)
                .setSequence(0)
                .setPeersHash(0)
                .setSpread(false);
    }

    private static final class Told {
        private long mHolds;
        private long mSent;
        private Duration mNext = Duration.ZERO;
        private Duration mAvoidUntil = Duration.ZERO;
    }
}
