package org.sequoiahill.daemon.request.direct;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts the bytes of an event stream after whole events, so that a stream that breaks off can go on
 * after the last whole one. Not safe for several threads.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private ByteArrayOutputStream mPartial = new ByteArrayOutputStream();
    private Optional<String> mLastId = Optional.empty();
    private int mEvents;

    /** Returns the whole events that these bytes complete, empty where they complete none. */
    ByteBuffer take(ByteBuffer bytes) {
        byte[] added = new byte[bytes.remaining()];
        bytes.get(added);
        mPartial.writeBytes(added);
        byte[] all = mPartial.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0) {
            return ByteBuffer.allocate(0);
        }
        noteEvents(new String(all, 0, end, StandardCharsets.UTF_8));
        mPartial = new ByteArrayOutputStream();
        mPartial.write(all, end, all.length - end);
        return ByteBuffer.wrap(all, 0, end);
    }

    /** Returns what follows the last whole event, and forgets it. */
    ByteBuffer rest() {
        ByteBuffer rest = ByteBuffer.wrap(mPartial.toByteArray());
        mPartial = new ByteArrayOutputStream();
        return rest;
    }

    /** Returns the id of the last whole event. */
    Optional<String> lastId() {
        return mLastId;
    }

    /** Returns the number of whole events. */
    int events() {
        return mEvents;
    }

    private void noteEvents(String events) {
        boolean isInEvent = false;
        for (String line : events.split("\r?\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                mLastId = Optional.of(line.substring(ID_FIELD.length()).trim());
            }
            if (line.isEmpty() && isInEvent) {
                mEvents++;
            }
            isInEvent = !line.isEmpty();
        }
    }

    /** Returns the index after the last blank line, 0 where there is none. */
    private static int endOfLastEvent(byte[] bytes) {
        for (int i = bytes.length - 1; i > 0; i--) {
            if (bytes[i] != '\n') {
                continue;
            }
            boolean isBlank =
                    bytes[i - 1] == '\n' || (i > 1 && bytes[i - 1] == '\r' && bytes[i - 2] == '\n');
            if (isBlank) {
                return i + 1;
            }
        }
        return 0;
    }
}
