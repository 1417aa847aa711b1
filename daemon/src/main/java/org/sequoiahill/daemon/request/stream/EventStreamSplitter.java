package org.sequoiahill.daemon.request.stream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events into whole events and counts its tokens.
 *
 * <p>A token is an event with data other than the last one, {@code [DONE]}. Comments count for
 * nothing. What has not come whole is held back, so that another endpoint can go on from a token.
 */
public final class EventStreamSplitter {
    /** Largest event, in bytes. */
    public static final int MAX_EVENT_BYTES = 64 << 10;

    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final ByteArrayOutputStream mEvent = new ByteArrayOutputStream();
    private long mTokens;
    private boolean mIsDone;
    private boolean mIsLineEmpty = true;

    private EventStreamSplitter() {}

    /** Returns a cursor at the beginning of a stream. */
    public static EventStreamSplitter atStart() {
        return new EventStreamSplitter();
    }

    /** Takes bytes in; returns the whole events that they end, or empty where there are none. */
    public Optional<ByteBuffer> append(ByteBuffer bytes) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            mEvent.write(next);
            if (next == '\n' && mIsLineEmpty) {
                count();
                whole.writeBytes(mEvent.toByteArray());
                mEvent.reset();
            }
            mIsLineEmpty = next == '\n' || (next == '\r' && mIsLineEmpty);
        }
        return whole.size() == 0
                ? Optional.empty()
                : Optional.of(ByteBuffer.wrap(whole.toByteArray()));
    }

    /** Drops what has not come whole, since the stream goes on elsewhere from the last token. */
    public void discardIncomplete() {
        mEvent.reset();
        mIsLineEmpty = true;
    }

    /** Returns what has come behind the last whole event. */
    public ByteBuffer incomplete() {
        return ByteBuffer.wrap(mEvent.toByteArray());
    }

    /** Returns whether an event has grown over its bound. */
    public boolean isEventTooLarge() {
        return mEvent.size() > MAX_EVENT_BYTES;
    }

    /** Returns the tokens in whole events so far. */
    public long tokens() {
        return mTokens;
    }

    /** Returns whether the last event of the stream has come. */
    public boolean isDone() {
        return mIsDone;
    }

    private void count() {
        String event = mEvent.toString(StandardCharsets.UTF_8);
        for (String line : event.lines().toList()) {
            if (line.startsWith(DATA)) {
                boolean isLast = line.substring(DATA.length()).trim().equals(DONE);
                mIsDone = mIsDone || isLast;
                mTokens += isLast ? 0 : 1;
                return;
            }
        }
    }
}
