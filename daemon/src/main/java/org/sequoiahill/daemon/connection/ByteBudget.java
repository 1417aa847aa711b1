package org.sequoiahill.daemon.connection;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total size of the incomplete bodies that are read with this budget. */
public final class ByteBudget {
    private final long mMaxBytes;
    private final AtomicLong mReserved = new AtomicLong();

    private ByteBudget(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns a budget of {@code maxBytes} with nothing reserved. */
    public static ByteBudget of(long maxBytes) {
        return new ByteBudget(maxBytes);
    }

    /** Returns a budget without a limit. */
    public static ByteBudget unbounded() {
        return of(Long.MAX_VALUE);
    }

    /**
     * Reserves bytes and returns true, or reserves nothing and returns false if that would exceed
     * the limit.
     */
    boolean tryReserve(int bytes) {
        if (mReserved.addAndGet(bytes) <= mMaxBytes) {
            return true;
        }
        mReserved.addAndGet(-bytes);
        return false;
    }

    /** Releases reserved bytes. */
    void release(long bytes) {
        mReserved.addAndGet(-bytes);
    }

    /** Returns the number of reserved bytes. */
    public long reserved() {
        return mReserved.get();
    }
}
