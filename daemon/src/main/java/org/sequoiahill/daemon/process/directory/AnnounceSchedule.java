package org.sequoiahill.daemon.process.directory;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahill.protocol.gen.Announcement;

/**
 * Decides what an agent sends to which entry and when: changes go to three entries, renewals to the
 * first of them that responds.
 *
 * <p>Not thread-safe.
 */
final class AnnounceSchedule {
    /** Number of entries that a change is sent to. */
    static final int ENTRIES_PER_CHANGE = 3;

    private static final Duration FAILURE_PAUSE = Duration.ofSeconds(3);

    private final List<String> mRanked;
    private final Map<String, EntryState> mEntryStates = new HashMap<>();
    private Duration mRenewalInterval = Duration.ofSeconds(1);
    private Announcement mLastAnnounced = new Announcement();
    private long mSequence;
    private long mAnnouncedSequence;

    /** Creates a schedule over entries, ranked by rendezvous hashing. */
    AnnounceSchedule(String vm, List<String> entries) {
        mRanked =
                entries.stream()
                        .sorted(
                                Comparator.comparingLong(
                                        entry -> Hashes.mix(Hashes.of(vm) ^ Hashes.of(entry))))
                        .toList();
    }

    /** What a message contains. */
    enum Kind {
        /** The complete announcement. */
        ANNOUNCE,
        /** A renewal of the lease of the announcement that the entry holds. */
        RENEW
    }

    /**
     * A message to be sent.
     *
     * @param entry VM of the receiving entry
     * @param kind content of the message
     * @param announced sequence number of the announcement
     * @param sequence sequence number of this message; only a renewal carries it
     * @param shouldPropagate whether the entry should propagate the message to the other entries
     */
    record Message(
            String entry, Kind kind, long announced, long sequence, boolean shouldPropagate) {}

    /** Returns the messages that are due and records them as sent. */
    List<Message> due(Announcement current, Duration now) {
        Announcement content = contentOf(current);
        if (!content.equals(mLastAnnounced)) {
            mLastAnnounced = content;
            mAnnouncedSequence = ++mSequence;
        }
        List<String> entries = candidates(now);
        return entries.stream()
                .filter(entry -> isDue(entry, entry.equals(entries.get(0)), now))
                .map(entry -> messageTo(entry, entry.equals(entries.get(0)), now))
                .toList();
    }

    /**
     * Records that an entry holds the announcement, and derives the renewal interval from the
     * duration of the announcement's lease there.
     */
    void onAcknowledged(String entry, long announced, Duration lease) {
        state(entry).mHeldAnnouncement = Math.max(state(entry).mHeldAnnouncement, announced);
        mRenewalInterval = lease.dividedBy(4);
    }

    /** Records that an entry does not hold the announcement whose lease was to be renewed. */
    void onUnknownAnnouncement(String entry) {
        state(entry).mHeldAnnouncement = 0;
        state(entry).mNextMessageAt = Duration.ZERO;
    }

    /**
     * Records that an entry did not respond; the next one replaces it for {@link #FAILURE_PAUSE}.
     */
    void onFailure(String entry, Duration now) {
        state(entry).mHeldAnnouncement = 0;
        state(entry).mAvoidUntil = now.plus(FAILURE_PAUSE);
    }

    private List<String> candidates(Duration now) {
        List<String> candidates =
                mRanked.stream()
                        .filter(entry -> state(entry).mAvoidUntil.compareTo(now) <= 0)
                        .limit(ENTRIES_PER_CHANGE)
                        .toList();
        return candidates.isEmpty()
                ? mRanked.stream().limit(ENTRIES_PER_CHANGE).toList()
                : candidates;
    }

    private boolean isDue(String entry, boolean isPreferred, Duration now) {
        EntryState state = state(entry);
        if (state.mHeldAnnouncement < mAnnouncedSequence
                && state.mSentAnnouncement < mAnnouncedSequence) {
            return true;
        }
        boolean isRenewalDue = state.mNextMessageAt.compareTo(now) <= 0;
        return isRenewalDue && (isPreferred || state.mHeldAnnouncement < mAnnouncedSequence);
    }

    private Message messageTo(String entry, boolean isPreferred, Duration now) {
        EntryState state = state(entry);
        Kind kind = state.mHeldAnnouncement < mAnnouncedSequence ? Kind.ANNOUNCE : Kind.RENEW;
        state.mNextMessageAt = now.plus(mRenewalInterval);
        state.mSentAnnouncement = mAnnouncedSequence;
        return new Message(entry, kind, mAnnouncedSequence, ++mSequence, isPreferred);
    }

    private EntryState state(String entry) {
        return mEntryStates.computeIfAbsent(entry, name -> new EntryState());
    }

    /**
     * Returns an announcement without its load, its concurrency limit and the fields that are set
     * for each message.
     */
    private static Announcement contentOf(Announcement announcement) {
        Announcement content = new Announcement(announcement);
        return content.setRunning(0)
                .setWaiting(0)
                .setLimit(0)
                .setSequence(0)
                .setPeersHash(0)
                .setSpread(false);
    }

    private static final class EntryState {
        private long mHeldAnnouncement;
        private long mSentAnnouncement;
        private Duration mNextMessageAt = Duration.ZERO;
        private Duration mAvoidUntil = Duration.ZERO;
    }
}
