package org.sequoiahill.daemon.connection;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A body that is collected in memory, all of whose memory is reserved in a budget. Not safe for use
 * by several threads.
 */
public final class BodyBuffer {
    /** Size above which a body is large. */
    public static final int MAX_SMALL_BYTES = 64 << 10;

    private static final int MIN_CAPACITY = 4 << 10;

    private final long mLength;
    private final int mMaxBytes;
    private final HeldBytes mHeld;
    private final boolean mReservesMaximum;
    private boolean mIsMaximumReserved;
    private byte[] mBytes = {};
    private int mSize;

    private BodyBuffer(long length, int maxBytes, HeldBytes held, boolean reservesMaximum) {
        mLength = length;
        mMaxBytes = maxBytes;
        mHeld = held;
        mReservesMaximum = reservesMaximum;
    }

    /** Result of adding bytes to a body. */
    public enum Result {
        /** The bytes have been added. */
        ADDED,
        /** The body exceeds its maximum size. */
        TOO_LARGE,
        /** The budget has no room for the bytes. */
        NO_ROOM
    }

    /**
     * Returns an empty body.
     *
     * @param length stated length of the body, -1 if unknown
     * @param maxBytes maximum size of the body
     * @param held reservation of the body's memory, which the caller must release
     */
    public static BodyBuffer of(long length, int maxBytes, HeldBytes held) {
        return new BodyBuffer(length, maxBytes, held, false);
    }

    /**
     * Returns an empty body as {@link #of} does, but one of unknown length that becomes large
     * reserves the memory for its maximum size at once. Bodies that wait for room then can't wait
     * for each other.
     */
    public static BodyBuffer reservingMaximum(long length, int maxBytes, HeldBytes held) {
        return new BodyBuffer(length, maxBytes, held, true);
    }

    /**
     * Reserves the memory for the stated length, so that no later part of the body lacks room; has
     * no effect once bytes have been added.
     */
    public Result reserveStatedLength() {
        if (mBytes.length > 0) {
            return Result.ADDED;
        }
        if (mLength > mMaxBytes) {
            return Result.TOO_LARGE;
        }
        return mLength <= 0 || mHeld.tryHold(mLength, isLarge(mLength))
                ? Result.ADDED
                : Result.NO_ROOM;
    }

    /** Adds the remaining bytes of a buffer, or nothing if the result says so. */
    public Result add(ByteBuffer buffer) {
        int count = buffer.remaining();
        if (count > mMaxBytes - mSize) {
            return Result.TOO_LARGE;
        }
        if (count > mBytes.length - mSize && !grow(mSize + count)) {
            return Result.NO_ROOM;
        }
        buffer.get(mBytes, mSize, count);
        mSize += count;
        return Result.ADDED;
    }

    /** Returns the complete body, without copying it, and releases the memory it does not need. */
    public ByteBuffer bytes() {
        mHeld.tryHold(mBytes.length, isLarge(mBytes.length));
        return ByteBuffer.wrap(mBytes, 0, mSize).slice();
    }

    private boolean grow(int minCapacity) {
        if (mBytes.length == 0 && minCapacity <= mLength && mLength <= mMaxBytes) {
            return allocate((int) mLength);
        }
        int atLeast = Math.max(MIN_CAPACITY, minCapacity);
        long powerOfTwo = 2L * Integer.highestOneBit(atLeast - 1);
        return allocate((int) Math.min(mMaxBytes, powerOfTwo));
    }

    private boolean allocate(int capacity) {
        if (mIsMaximumReserved) {
            mBytes = Arrays.copyOf(mBytes, capacity);
            return true;
        }
        mIsMaximumReserved = mReservesMaximum && isLarge(capacity) && capacity != mLength;
        // Both arrays exist while the bytes are copied.
        long bytes =
                mIsMaximumReserved ? mMaxBytes + mMaxBytes / 2L : (long) mBytes.length + capacity;
        if (!mHeld.tryHold(bytes, isLarge(capacity))) {
            mIsMaximumReserved = false;
            return false;
        }
        mBytes = Arrays.copyOf(mBytes, capacity);
        return mIsMaximumReserved || mHeld.tryHold(capacity, isLarge(capacity));
    }

    private static boolean isLarge(long bytes) {
        return bytes > MAX_SMALL_BYTES;
    }
}
