package org.sequoiahill.daemon.process.log;

import java.time.Duration;
import java.util.Optional;

/** What a leader knows of another member. */
final class Progress {
    private final long mJoinIndex;
    private final Duration mKnownSince;
    private long mMatch;
    private long mNext;
    private long mSentCommit;
    private int mInFlight;
    private Duration mAckedAt;
    private Optional<Transfer> mTransfer = Optional.empty();

    private Progress(long next, long joinIndex, Duration ackedAt, Duration knownSince) {
        mNext = next;
        mJoinIndex = joinIndex;
        mAckedAt = ackedAt;
        mKnownSince = knownSince;
    }

    /**
     * Returns what is known of a member at first.
     *
     * @param next first index to send
     * @param joinIndex what was committed when the member was first known
     * @param ackedAt time before which nothing is acknowledged
     * @param knownSince when the member was first known
     */
    static Progress of(long next, long joinIndex, Duration ackedAt, Duration knownSince) {
        return new Progress(next, joinIndex, ackedAt, knownSince);
    }

    /** A snapshot on its way, sent part by part. */
    record Transfer(Snapshot snapshot, int offset, Duration sentAt) {}

    long match() {
        return mMatch;
    }

    long next() {
        return mNext;
    }

    /** Returns since when the member has been silent: its last answer, or its first mention. */
    Duration silentSince() {
        return mAckedAt.compareTo(mKnownSince) > 0 ? mAckedAt : mKnownSince;
    }

    Duration ackedAt() {
        return mAckedAt;
    }

    long sentCommit() {
        return mSentCommit;
    }

    void toldCommit(long index) {
        mSentCommit = index;
    }

    boolean hasCaughtUp() {
        return mMatch >= mJoinIndex;
    }

    boolean maySend(int limit) {
        return mTransfer.isEmpty() && mInFlight < limit;
    }

    void sent(long lastIndex) {
        mNext = lastIndex + 1;
        mInFlight++;
    }

    void acknowledged(Duration sentAt) {
        mAckedAt = sentAt.compareTo(mAckedAt) > 0 ? sentAt : mAckedAt;
    }

    void matched(long index) {
        mInFlight = Math.max(0, mInFlight - 1);
        mMatch = Math.max(mMatch, index);
        mNext = Math.max(mNext, mMatch + 1);
    }

    void mismatched(long hint) {
        mInFlight = 0;
        mNext = Math.max(mMatch, hint) + 1;
    }

    Optional<Transfer> transfer() {
        return mTransfer;
    }

    void transfer(Optional<Transfer> transfer) {
        mTransfer = transfer;
        mInFlight = 0;
    }
}
