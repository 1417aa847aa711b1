package org.sequoiahill.daemon.version.staging;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Pieces that several workers fetch; one that did not come goes to the end. */
public final class PieceQueue {
    private final Deque<Integer> mWaiting;
    private final Map<Integer, Integer> mFailures = new HashMap<>();
    private final int mMaxTotalFailures;
    private int mRemaining;
    private int mTotalFailures;

    private PieceQueue(Collection<Integer> pieces, int maxFailures) {
        mWaiting = new ArrayDeque<>(pieces);
        mRemaining = pieces.size();
        mMaxTotalFailures = maxFailures;
    }

    /**
     * Returns a queue.
     *
     * @param maxFailures failures of all pieces together after which no more are handed out
     */
    public static PieceQueue of(Collection<Integer> pieces, int maxFailures) {
        return new PieceQueue(pieces, maxFailures);
    }

    /**
     * Returns a piece to fetch, after a wait where all are being fetched; null once all have come
     * or too many did not.
     */
    public synchronized @Nullable Integer take() {
        try {
            while (mWaiting.isEmpty() && mRemaining > 0 && mTotalFailures < mMaxTotalFailures) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
        return mRemaining > 0 && mTotalFailures < mMaxTotalFailures ? mWaiting.poll() : null;
    }

    /** Notes that a piece has come. */
    public synchronized void completed(int piece) {
        mFailures.remove(piece);
        mRemaining--;
        notifyAll();
    }

    /** Notes that a piece did not come; returns how often that was so. */
    public synchronized int failed(int piece) {
        mTotalFailures++;
        mWaiting.addLast(piece);
        notifyAll();
        return mFailures.merge(piece, 1, Integer::sum);
    }

    /** Returns how often any piece did not come. */
    synchronized int totalFailures() {
        return mTotalFailures;
    }

    /** Returns how often a piece did not come. */
    public synchronized int failures(int piece) {
        return mFailures.getOrDefault(piece, 0);
    }
}
