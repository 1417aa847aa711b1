package org.sequoiahill.daemon.request.direct;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts the bytes of an event stream after whole events, so that a stream that breaks off can go on
 * after the last whole one. Not safe for several threads.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data";

    private static final int MIN_CAPACITY = 256;

    private byte[] mBuffer = new byte[0];
    private int mLength;
    private Optional<String> mLastId = Optional.empty();
    private int mEvents;
    private int mDataEvents;

    /** Returns the whole events that these bytes complete, empty where they complete none. */
    ByteBuffer feed(ByteBuffer bytes) {
        int known = mLength;
        append(bytes);
        int end = endOfLastEvent(known);
        if (end == 0) {
            return ByteBuffer.allocate(0);
        }
        ByteBuffer whole = ByteBuffer.wrap(Arrays.copyOf(mBuffer, end));
        countEvents(new String(whole.array(), StandardCharsets.UTF_8));
        mBuffer = Arrays.copyOfRange(mBuffer, end, mLength);
        mLength = mBuffer.length;
        return whole;
    }

    /** Returns how many bytes have come of an event that is not whole. */
    int partialBytes() {
        return mLength;
    }

    /** Returns what follows the last whole event, and forgets it. */
    ByteBuffer takePartial() {
        ByteBuffer rest = ByteBuffer.wrap(mBuffer, 0, mLength);
        mBuffer = new byte[0];
        mLength = 0;
        return rest;
    }

    /** Appends bytes; the buffer doubles, so that many small pieces cost no more than few. */
    private void append(ByteBuffer bytes) {
        int length = mLength + bytes.remaining();
        if (length > mBuffer.length) {
            mBuffer = Arrays.copyOf(mBuffer, Math.max(MIN_CAPACITY, 2 * length));
        }
        bytes.get(mBuffer, mLength, bytes.remaining());
        mLength = length;
    }

    /** Returns the id of the last whole event. */
    Optional<String> lastId() {
        return mLastId;
    }

    /** Returns the number of whole events. */
    int events() {
        return mEvents;
    }

    /** Returns the number of whole events that carry data; blocks of comments carry none. */
    int dataEvents() {
        return mDataEvents;
    }

    private void countEvents(String events) {
        boolean isInEvent = false;
        boolean hasData = false;
        for (String line : events.split("\r?\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                mLastId = Optional.of(line.substring(ID_FIELD.length()).trim());
            }
            hasData |= line.startsWith(DATA_FIELD);
            if (line.isEmpty() && isInEvent) {
                mEvents++;
                mDataEvents += hasData ? 1 : 0;
                hasData = false;
            }
            isInEvent = !line.isEmpty();
        }
    }

    /**
     * Returns the index after the last blank line, 0 where there is none.
     *
     * @param searched bytes that have been searched before
     */
    private int endOfLastEvent(int searched) {
        for (int i = mLength - 1; i > 0 && i >= searched; i--) {
            if (mBuffer[i] != '\n') {
                continue;
            }
            boolean isBlank =
                    mBuffer[i - 1] == '\n'
                            || (i > 1 && mBuffer[i - 1] == '\r' && mBuffer[i - 2] == '\n');
            if (isBlank) {
                return i + 1;
            }
        }
        return 0;
    }
}
