package org.sequoiahill.daemon.version.staging;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Pieces to be fetched by several workers; a piece that could not be fetched goes to the end. */
public final class PieceQueue {
    private final Deque<Integer> mWaiting;
    private final Map<Integer, Integer> mFailures = new HashMap<>();
    private final int mMaxTotalFailures;
    private int mRemaining;
    private int mTotalFailures;

    private PieceQueue(Collection<Integer> pieces, int maxTotalFailures) {
        mWaiting = new ArrayDeque<>(pieces);
        mRemaining = pieces.size();
        mMaxTotalFailures = maxTotalFailures;
    }

    /**
     * Returns a queue.
     *
     * @param maxTotalFailures failed attempts for all pieces together, after which no more pieces
     *     are handed out
     */
    public static PieceQueue of(Collection<Integer> pieces, int maxTotalFailures) {
        return new PieceQueue(pieces, maxTotalFailures);
    }

    /**
     * Returns the next piece to fetch, and blocks while all remaining pieces are being fetched;
     * null once all are complete, there were too many failures, or the thread is interrupted.
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

    /** Records that a piece has been fetched. */
    public synchronized void completed(int piece) {
        mFailures.remove(piece);
        mRemaining--;
        notifyAll();
    }

    /** Puts a piece that could not be fetched at the end; returns its failed attempts so far. */
    public synchronized int failed(int piece) {
        mTotalFailures++;
        mWaiting.addLast(piece);
        notifyAll();
        return mFailures.merge(piece, 1, Integer::sum);
    }

    /** Returns the failed attempts for all pieces. */
    synchronized int totalFailures() {
        return mTotalFailures;
    }

    /** Returns the failed attempts for a piece. */
    public synchronized int failures(int piece) {
        return mFailures.getOrDefault(piece, 0);
    }
}
