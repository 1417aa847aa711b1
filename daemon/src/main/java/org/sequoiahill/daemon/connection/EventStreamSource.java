package org.sequoiahill.daemon.connection;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/**
 * A source of an event stream that fails if the stream is truncated, so that no receiver passes the
 * end of a truncated stream on as the end of a complete one.
 *
 * <p>A stream that ends inside an event is truncated, however its body is framed. If only the end
 * of the connection ends the body, a stream without an event, and one that ends within a line, are
 * truncated too.
 */
public final class EventStreamSource implements Content.Source {
    private static final String EVENT_STREAM = "text/event-stream";

    private final Content.Source mSource;
    private final boolean mHasExplicitEnd;
    private final EventBoundary mBoundary = new EventBoundary();
    private Content.@Nullable Chunk mTruncation;

    private EventStreamSource(Content.Source source, boolean hasExplicitEnd) {
        mSource = source;
        mHasExplicitEnd = hasExplicitEnd;
    }

    /**
     * Returns a source that checks the end of a response's body if it is an event stream, otherwise
     * {@code content}.
     */
    public static Content.Source checkEnd(Response response, Content.Source content) {
        boolean hasBody =
                HttpStatus.isSuccess(response.getStatus())
                        && response.getStatus() != HttpStatus.NO_CONTENT_204
                        && !HttpMethod.HEAD.is(response.getRequest().getMethod());
        boolean isChecked =
                hasBody
                        && isEventStream(response.getHeaders().get(HttpHeader.CONTENT_TYPE))
                        && !response.getHeaders().contains(HttpHeader.CONTENT_ENCODING);
        return isChecked
                ? of(content, ResponseFraming.of(response) != ResponseFraming.CLOSE)
                : content;
    }

    /** Returns whether a content type, null if there is none, is that of event streams. */
    public static boolean isEventStream(@Nullable String contentType) {
        return contentType != null && contentType.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
    }

    /**
     * Returns a source that checks the end of an event stream.
     *
     * @param hasExplicitEnd whether a length or a last chunk marks the end of the body
     */
    static EventStreamSource of(Content.Source source, boolean hasExplicitEnd) {
        return new EventStreamSource(source, hasExplicitEnd);
    }

    @Override
    public Content.Chunk read() {
        if (mTruncation != null) {
            return mTruncation;
        }
        Content.Chunk chunk = mSource.read();
        if (chunk == null || Content.Chunk.isFailure(chunk)) {
            return chunk;
        }
        mBoundary.append(chunk.getByteBuffer());
        Optional<String> truncation = chunk.isLast() ? truncation() : Optional.empty();
        if (truncation.isEmpty()) {
            return chunk;
        }
        mTruncation = Content.Chunk.from(new TruncatedStreamException(truncation.get()), true);
        if (chunk.hasRemaining()) {
            return Content.Chunk.asChunk(chunk.getByteBuffer(), false, chunk);
        }
        chunk.release();
        return mTruncation;
    }

    @Override
    public void demand(Runnable demandCallback) {
        if (mTruncation == null) {
            mSource.demand(demandCallback);
        } else {
            demandCallback.run();
        }
    }

    @Override
    public void fail(Throwable failure) {
        mSource.fail(failure);
    }

    @Override
    public long getLength() {
        return mSource.getLength();
    }

    private Optional<String> truncation() {
        if (mBoundary.isInsideEvent()) {
            return Optional.of("the event stream ended inside an event");
        }
        if (mHasExplicitEnd) {
            return Optional.empty();
        }
        if (!mBoundary.hasEvents()) {
            return Optional.of("the connection ended before the first event of the stream");
        }
        return mBoundary.isInsideLine()
                ? Optional.of("the connection ended inside a line of the event stream")
                : Optional.empty();
    }

    /** Tracks whether the bytes of a stream so far end inside an event or a line. */
    private static final class EventBoundary {
        private boolean mIsInsideEvent;
        private boolean mIsInsideLine;
        private boolean mIsAfterCarriageReturn;
        private boolean mHasEvents;

        void append(ByteBuffer bytes) {
            for (int i = bytes.position(); i < bytes.limit(); i++) {
                byte next = bytes.get(i);
                boolean isSecondOfPair = next == '\n' && mIsAfterCarriageReturn;
                mIsAfterCarriageReturn = next == '\r';
                if (isSecondOfPair) {
                    continue;
                }
                if (next == '\n' || next == '\r') {
                    endLine();
                } else if (!mIsInsideLine) {
                    mIsInsideLine = true;
                    mIsInsideEvent |= next != ':';
                }
            }
        }

        private void endLine() {
            if (!mIsInsideLine) {
                mHasEvents |= mIsInsideEvent;
                mIsInsideEvent = false;
            }
            mIsInsideLine = false;
        }

        /** Returns whether a field was read after the last blank line. */
        boolean isInsideEvent() {
            return mIsInsideEvent;
        }

        boolean isInsideLine() {
            return mIsInsideLine;
        }

        boolean hasEvents() {
            return mHasEvents;
        }
    }
}
