package org.sequoiahill.daemon.connection;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;

/** Reads a complete body into memory without blocking; fails if it is too large. */
public final class BodyReader {
    private final Content.Source mSource;
    private final int mMaxBytes;
    private final ByteBudget mBudget;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> mResult = new CompletableFuture<>();

    private BodyReader(Content.Source source, int maxBytes, ByteBudget budget) {
        mSource = source;
        mMaxBytes = maxBytes;
        mBudget = budget;
    }

    /** Signals that a body is too large, or that the byte budget is exhausted. */
    public static final class BodyTooLargeException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates the signal. */
        public BodyTooLargeException(String message) {
            super(message);
        }
    }

    /**
     * Returns a future of the bytes of a body. The future fails with {@link BodyTooLargeException}
     * if the body exceeds {@code maxBytes}, and with the cause if the body ends prematurely.
     */
    public static CompletableFuture<byte[]> read(Content.Source source, int maxBytes) {
        return read(source, maxBytes, ByteBudget.unbounded());
    }

    /**
     * Reads as {@link #read(Content.Source, int)} does, and fails with {@link
     * BodyTooLargeException} also if {@code budget} is exhausted.
     */
    public static CompletableFuture<byte[]> read(
            Content.Source source, int maxBytes, ByteBudget budget) {
        BodyReader reader = new BodyReader(source, maxBytes, budget);
        reader.readAvailable();
        return reader.mResult.whenComplete((body, failure) -> budget.release(reader.mBytes.size()));
    }

    private void readAvailable() {
        while (true) {
            Content.Chunk chunk = mSource.read();
            if (chunk == null) {
                mSource.demand(this::readAvailable);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                mResult.completeExceptionally(chunk.getFailure());
                return;
            }
            boolean isAppended = append(chunk.getByteBuffer());
            chunk.release();
            if (!isAppended) {
                BodyTooLargeException failure =
                        new BodyTooLargeException(
                                "a body has more than "
                                        + mMaxBytes
                                        + " bytes, or the byte budget for all bodies is exhausted");
                mSource.fail(failure);
                mResult.completeExceptionally(failure);
                return;
            }
            if (chunk.isLast()) {
                mResult.complete(mBytes.toByteArray());
                return;
            }
        }
    }

    private boolean append(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        if (mBytes.size() + bytes.length > mMaxBytes || !mBudget.tryReserve(bytes.length)) {
            return false;
        }
        buffer.get(bytes);
        mBytes.write(bytes, 0, bytes.length);
        return true;
    }
}
