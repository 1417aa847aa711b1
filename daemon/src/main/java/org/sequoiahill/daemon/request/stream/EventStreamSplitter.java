package org.sequoiahill.daemon.request.stream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events and counts its tokens.
 *
 * <p>Each event with data counts as one token, except the final {@code [DONE]}; comments do not
 * count. An incomplete event is held back until its end arrives, so that the stream can be resumed
 * after a complete token at another endpoint.
 */
public final class EventStreamSplitter {
    /** Maximum size of an incomplete event in bytes. */
    public static final int MAX_EVENT_BYTES = 64 << 10;

    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final ByteArrayOutputStream mEvent = new ByteArrayOutputStream();
    private long mTokens;
    private boolean mIsDone;
    private boolean mIsLineEmpty = true;

    private EventStreamSplitter() {}

    /** Returns a splitter at the start of a stream. */
    public static EventStreamSplitter atStart() {
        return new EventStreamSplitter();
    }

    /** Appends bytes; returns the events that they complete, or empty if there are none. */
    public Optional<ByteBuffer> append(ByteBuffer bytes) {
        ByteArrayOutputStream complete = new ByteArrayOutputStream();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            mEvent.write(next);
            if (next == '\n' && mIsLineEmpty) {
                count();
                complete.writeBytes(mEvent.toByteArray());
                mEvent.reset();
            }
            mIsLineEmpty = next == '\n' || (next == '\r' && mIsLineEmpty);
        }
        return complete.size() == 0
                ? Optional.empty()
                : Optional.of(ByteBuffer.wrap(complete.toByteArray()));
    }

    /**
     * Discards an incomplete event, as the stream will be resumed after the last complete token.
     */
    public void discardIncomplete() {
        mEvent.reset();
        mIsLineEmpty = true;
    }

    /** Returns the bytes of an incomplete event. */
    public ByteBuffer incomplete() {
        return ByteBuffer.wrap(mEvent.toByteArray());
    }

    /** Returns whether the incomplete event exceeds {@link #MAX_EVENT_BYTES}. */
    public boolean isEventTooLarge() {
        return mEvent.size() > MAX_EVENT_BYTES;
    }

    /** Returns the number of tokens in complete events so far. */
    public long tokens() {
        return mTokens;
    }

    /** Returns whether the final event of the stream has arrived. */
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
