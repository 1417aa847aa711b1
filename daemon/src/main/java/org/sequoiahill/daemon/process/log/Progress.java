package org.sequoiahill.daemon.process.log;

import java.time.Duration;
import java.util.Optional;

/** Replication progress of another member, as the leader knows it. */
final class Progress {
    private final long mCatchUpIndex;
    private final Duration mTrackedSince;
    private long mMatchIndex;
    private long mNextIndex;
    private long mSentCommitIndex;
    private int mAppendsInFlight;
    private Duration mAckedAt;
    private Optional<SnapshotTransfer> mSnapshotTransfer = Optional.empty();

    private Progress(long nextIndex, long catchUpIndex, Duration ackedAt, Duration trackedSince) {
        mNextIndex = nextIndex;
        mCatchUpIndex = catchUpIndex;
        mAckedAt = ackedAt;
        mTrackedSince = trackedSince;
    }

    /**
     * Returns the initial progress of a member.
     *
     * @param nextIndex first index to send
     * @param catchUpIndex commit index when tracking started; a learner whose log has reached it
     *     has caught up
     * @param ackedAt initial time of the last acknowledgement
     * @param trackedSince when tracking started
     */
    static Progress of(long nextIndex, long catchUpIndex, Duration ackedAt, Duration trackedSince) {
        return new Progress(nextIndex, catchUpIndex, ackedAt, trackedSince);
    }

    /** A snapshot that is being sent chunk by chunk. */
    record SnapshotTransfer(Snapshot snapshot, int offset, Duration sentAt) {}

    long matchIndex() {
        return mMatchIndex;
    }

    long nextIndex() {
        return mNextIndex;
    }

    /** Returns when the member last responded, or when tracking started if it never did. */
    Duration lastContactAt() {
        return mAckedAt.compareTo(mTrackedSince) > 0 ? mAckedAt : mTrackedSince;
    }

    /** Returns when the latest acknowledged message was sent. */
    Duration ackedAt() {
        return mAckedAt;
    }

    long sentCommitIndex() {
        return mSentCommitIndex;
    }

    void commitIndexSent(long index) {
        mSentCommitIndex = index;
    }

    boolean hasCaughtUp() {
        return mMatchIndex >= mCatchUpIndex;
    }

    boolean maySend(int maxAppendsInFlight) {
        return mSnapshotTransfer.isEmpty() && mAppendsInFlight < maxAppendsInFlight;
    }

    void sent(long lastIndex) {
        mNextIndex = lastIndex + 1;
        mAppendsInFlight++;
    }

    void acknowledged(Duration sentAt) {
        mAckedAt = sentAt.compareTo(mAckedAt) > 0 ? sentAt : mAckedAt;
    }

    void matched(long index) {
        mAppendsInFlight = Math.max(0, mAppendsInFlight - 1);
        mMatchIndex = Math.max(mMatchIndex, index);
        mNextIndex = Math.max(mNextIndex, mMatchIndex + 1);
    }

    void mismatched(long hint) {
        mAppendsInFlight = 0;
        mNextIndex = Math.max(mMatchIndex, hint) + 1;
    }

    Optional<SnapshotTransfer> snapshotTransfer() {
        return mSnapshotTransfer;
    }

    /** Records a started, continued or ended snapshot transfer; resets the appends in flight. */
    void changeSnapshotTransfer(Optional<SnapshotTransfer> transfer) {
        mSnapshotTransfer = transfer;
        mAppendsInFlight = 0;
    }
}
