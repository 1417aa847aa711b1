package org.sequoiahill.daemon.connection;

/**
 * The bytes of one body that are reserved in a budget until they are released. Safe for use by
 * several threads.
 */
public final class HeldBytes {
    private final ByteBudget mLargeBudget;
    private ByteBudget mBudget;
    private long mBytes;
    private boolean mIsReleased;

    private HeldBytes(ByteBudget budget, ByteBudget largeBudget) {
        mBudget = budget;
        mLargeBudget = largeBudget;
    }

    /**
     * Returns a reservation of no bytes.
     *
     * @param budget budget while the body is small
     * @param largeBudget budget once the body is large
     */
    public static HeldBytes of(ByteBudget budget, ByteBudget largeBudget) {
        return new HeldBytes(budget, largeBudget);
    }

    /**
     * Changes the reservation to a number of bytes; returns false and changes nothing if the budget
     * has no room, or if the reservation has been released.
     *
     * @param isLarge whether the body is large; it remains so
     */
    synchronized boolean tryHold(long bytes, boolean isLarge) {
        if (mIsReleased) {
            return false;
        }
        if (isLarge && mBudget != mLargeBudget) {
            if (!mLargeBudget.tryReserve(bytes)) {
                return false;
            }
            mBudget.release(mBytes);
            mBudget = mLargeBudget;
        } else if (bytes <= mBytes) {
            mBudget.release(mBytes - bytes);
        } else if (!mBudget.tryReserve(bytes - mBytes)) {
            return false;
        }
        mBytes = bytes;
        return true;
    }

    /** Releases all bytes; further ones can be reserved. */
    public void clear() {
        tryHold(0, false);
    }

    /** Releases all bytes for good; has no effect the second time. */
    public synchronized void release() {
        if (!mIsReleased) {
            mIsReleased = true;
            mBudget.release(mBytes);
        }
    }
}
