package org.sequoiahill.daemon.connection;

import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** Limits the total size of the bodies that are held with this budget. */
public final class ByteBudget {
    private final @Nullable ByteBudget mWhole;
    private final long mMaxBytes;
    private final AtomicLong mReserved = new AtomicLong();

    private ByteBudget(@Nullable ByteBudget whole, long maxBytes) {
        mWhole = whole;
        mMaxBytes = maxBytes;
    }

    /** Returns a budget of {@code maxBytes} with nothing reserved. */
    public static ByteBudget of(long maxBytes) {
        return new ByteBudget(null, maxBytes);
    }

    /** Returns a budget without a limit. */
    public static ByteBudget unbounded() {
        return of(Long.MAX_VALUE);
    }

    /** Returns a budget of {@code maxBytes} whose reservations count in this budget too. */
    public ByteBudget part(long maxBytes) {
        return new ByteBudget(this, maxBytes);
    }

    /**
     * Reserves bytes and returns true, or reserves nothing and returns false if that would exceed
     * the limit.
     */
    boolean tryReserve(long bytes) {
        if (mReserved.addAndGet(bytes) <= mMaxBytes
                && (mWhole == null || mWhole.tryReserve(bytes))) {
            return true;
        }
        mReserved.addAndGet(-bytes);
        return false;
    }

    /** Releases reserved bytes. */
    void release(long bytes) {
        mReserved.addAndGet(-bytes);
        if (mWhole != null) {
            mWhole.release(bytes);
        }
    }

    /** Returns the number of reserved bytes. */
    public long reserved() {
        return mReserved.get();
    }

    /** Returns the largest number of bytes that can be reserved at once. */
    public long maxBytes() {
        return mMaxBytes;
    }
}
