package org.sequoiahill.daemon.request.direct;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits the bytes of an event stream at event boundaries, so that a stream that breaks can be
 * resumed after the last complete event. Not thread-safe.
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

    /**
     * Appends bytes; removes and returns all complete events, an empty buffer if there are none.
     */
    ByteBuffer feed(ByteBuffer bytes) {
        int searched = mLength;
        append(bytes);
        int end = endOfLastEvent(searched);
        if (end == 0) {
            return ByteBuffer.allocate(0);
        }
        ByteBuffer complete = ByteBuffer.wrap(Arrays.copyOf(mBuffer, end));
        countEvents(new String(complete.array(), StandardCharsets.UTF_8));
        mBuffer = Arrays.copyOfRange(mBuffer, end, mLength);
        mLength = mBuffer.length;
        return complete;
    }

    /** Returns the number of buffered bytes of an incomplete event. */
    int partialBytes() {
        return mLength;
    }

    /** Removes and returns the buffered bytes after the last complete event. */
    ByteBuffer takePartial() {
        ByteBuffer partial = ByteBuffer.wrap(mBuffer, 0, mLength);
        mBuffer = new byte[0];
        mLength = 0;
        return partial;
    }

    /** Appends bytes; the capacity doubles, so that many small appends take linear time. */
    private void append(ByteBuffer bytes) {
        int length = mLength + bytes.remaining();
        if (length > mBuffer.length) {
            mBuffer = Arrays.copyOf(mBuffer, Math.max(MIN_CAPACITY, 2 * length));
        }
        bytes.get(mBuffer, mLength, bytes.remaining());
        mLength = length;
    }

    /** Returns the id of the last complete event that has one. */
    Optional<String> lastId() {
        return mLastId;
    }

    /** Returns the number of complete events so far, including blocks of comments. */
    int events() {
        return mEvents;
    }

    /** Returns the number of complete events so far that contain data. */
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
     * Returns the index after the last blank line, 0 if there is none.
     *
     * @param searched number of leading bytes that have been searched before
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
