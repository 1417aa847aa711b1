package org.sequoiahill.daemon.process.log;

import java.time.Duration;
import java.util.Optional;

/** What a leader knows of another member. */
final class Progress {
    private final long mCatchUpIndex;
    private final Duration mTrackedSince;
    private long mMatchIndex;
    private long mNextIndex;
    private long mSentCommitIndex;
    private int mAppendsInFlight;
    private Duration mAckedAt;
    private Optional<SnapshotTransfer> mSnapshotTransfer = Optional.empty();

    private Progress(long next, long joinIndex, Duration ackedAt, Duration knownSince) {
        mNextIndex = next;
        mCatchUpIndex = joinIndex;
        mAckedAt = ackedAt;
        mTrackedSince = knownSince;
    }

    /**
     * Returns what is known of a member at first.
     *
     * @param nextIndex first index to send
     * @param joinIndex what was committed when the member was first known
     * @param ackedAt time before which nothing is acknowledged
     * @param knownSince when the member was first known
     */
    static Progress of(long next, long joinIndex, Duration ackedAt, Duration knownSince) {
        return new Progress(next, joinIndex, ackedAt, knownSince);
    }

    /** A snapshot on its way, sent part by part. */
    record SnapshotTransfer(Snapshot snapshot, int offset, Duration sentAt) {}

    long matchIndex() {
        return mMatchIndex;
    }

    long nextIndex() {
        return mNextIndex;
    }

    /** Returns since when the member has been silent: its last answer, or its first mention. */
    Duration lastContactAt() {
        return mAckedAt.compareTo(mTrackedSince) > 0 ? mAckedAt : mTrackedSince;
    }

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

    boolean maySend(int limit) {
        return mSnapshotTransfer.isEmpty() && mAppendsInFlight < limit;
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

    void snapshotTransfer(Optional<SnapshotTransfer> transfer) {
        mSnapshotTransfer = transfer;
        mAppendsInFlight = 0;
    }
}
