package org.sequoiahill.daemon.connection;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes that a process holds of bodies that are not whole yet, all taken together. */
public final class ByteBudget {
    private final long mMaxBytes;
    private final AtomicLong mReserved = new AtomicLong();

    private ByteBudget(long most) {
        mMaxBytes = most;
    }

    /** Returns a bound with nothing held. */
    public static ByteBudget of(long most) {
        return new ByteBudget(most);
    }

    /** Returns a count that bounds nothing. */
    public static ByteBudget unbounded() {
        return of(Long.MAX_VALUE);
    }

    /** Takes bytes; returns whether there was room for them. */
    boolean tryReserve(int bytes) {
        if (mReserved.addAndGet(bytes) <= mMaxBytes) {
            return true;
        }
        mReserved.addAndGet(-bytes);
        return false;
    }

    /** Gives bytes back. */
    void release(long bytes) {
        mReserved.addAndGet(-bytes);
    }

    /** Returns the bytes that are held. */
    public long reserved() {
        return mReserved.get();
    }
}
