package org.sequoiahill.daemon.request.direct;

import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.BodyBuffer;
import org.sequoiahill.daemon.connection.BodyReader.BodyTooLargeException;
import org.sequoiahill.daemon.connection.HeldBytes;

/**
 * Reads the complete body of an endpoint's response into memory, and stops reading while there is
 * no room for it. All methods run in the exchange's invoker.
 */
final class ResponseBodyReader {
    /** Maximum size of a response that is buffered until it is complete, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    private final Content.Source mContent;
    private final BodyBuffer mBuffer;
    private final ExchangeInvoker mInvoker;
    private final BiConsumer<@Nullable ByteBuffer, @Nullable Throwable> mOnEnd;
    private Content.@Nullable Chunk mUnread;
    private boolean mIsPaused;
    private boolean mIsEnded;

    private ResponseBodyReader(
            Content.Source content,
            BodyBuffer buffer,
            ExchangeInvoker invoker,
            BiConsumer<@Nullable ByteBuffer, @Nullable Throwable> onEnd) {
        mContent = content;
        mBuffer = buffer;
        mInvoker = invoker;
        mOnEnd = onEnd;
    }

    /**
     * Starts to read a body.
     *
     * @param memory budget of {@code held}
     * @param held reservation of the body's memory, which replaces that of an earlier attempt
     * @param onEnd called with the body, or with the cause if it is too large or broken
     */
    static ResponseBodyReader read(
            Response head,
            Content.Source content,
            CallerMemory memory,
            HeldBytes held,
            ExchangeInvoker invoker,
            BiConsumer<@Nullable ByteBuffer, @Nullable Throwable> onEnd) {
        held.clear();
        long length = head.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
        int maxBytes = (int) Math.min(MAX_RESPONSE_BYTES, memory.maxResponseBytes(length));
        BodyBuffer buffer = BodyBuffer.reservingMaximum(length, maxBytes, held);
        ResponseBodyReader reader = new ResponseBodyReader(content, buffer, invoker, onEnd);
        // A length that is too large is stated also by a response without a body.
        if (buffer.reserveStatedLength() == BodyBuffer.Result.NO_ROOM) {
            reader.mIsPaused = true;
        } else {
            reader.readAvailable();
        }
        return reader;
    }

    /** Returns whether reading has stopped for lack of room. */
    boolean isPaused() {
        return mIsPaused;
    }

    /** Goes on reading after the current step of the exchange if there is room now. */
    void resume() {
        if (mIsPaused && mBuffer.reserveStatedLength() != BodyBuffer.Result.NO_ROOM) {
            mIsPaused = false;
            mInvoker.run(this::readAvailable);
        }
    }

    /** Ends reading without a result. */
    void cancel() {
        mIsEnded = true;
        mIsPaused = false;
        if (mUnread != null) {
            mUnread.release();
            mUnread = null;
        }
    }

    private void readAvailable() {
        while (!mIsEnded) {
            Content.Chunk chunk = mUnread != null ? mUnread : mContent.read();
            mUnread = null;
            if (chunk == null) {
                mContent.demand(() -> mInvoker.run(this::readAvailable));
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                end(null, chunk.getFailure());
                return;
            }
            BodyBuffer.Result result = mBuffer.add(chunk.getByteBuffer());
            if (result == BodyBuffer.Result.NO_ROOM) {
                mUnread = chunk;
                mIsPaused = true;
                return;
            }
            chunk.release();
            if (result == BodyBuffer.Result.TOO_LARGE) {
                BodyTooLargeException failure =
                        new BodyTooLargeException("a body exceeds its maximum size");
                mContent.fail(failure);
                end(null, failure);
            } else if (chunk.isLast()) {
                end(mBuffer.bytes(), null);
            }
        }
    }

    private void end(@Nullable ByteBuffer body, @Nullable Throwable failure) {
        mIsEnded = true;
        mOnEnd.accept(body, failure);
    }
}
