package org.sequoiahill.daemon.connection;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;

/** Reads a body whole into memory without blocking, and gives up once it is too large. */
public final class BodyReader {
    private final Content.Source mSource;
    private final int mMaxBytes;
    private final ByteBudget mBudget;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> mResult = new CompletableFuture<>();

    private BodyReader(Content.Source source, int maxBytes, ByteBudget held) {
        mSource = source;
        mMaxBytes = maxBytes;
        mBudget = held;
    }

    /** Signals that a body has more bytes than are taken. */
    public static final class BodyTooLargeException extends Exception {
        private static final long serialVersionUID = 1L;

        BodyTooLargeException(String message) {
            super(message);
        }
    }

    /**
     * Returns the bytes of a body; fails with {@link BodyTooLargeException} over the bound, and
     * with the cause where the peer cuts the body short.
     */
    public static CompletableFuture<byte[]> read(Content.Source source, int maxBytes) {
        return read(source, maxBytes, ByteBudget.unbounded());
    }

    /**
     * Reads as {@link #read(Content.Source, int)} does, and fails also where the process holds too
     * many bytes of all bodies.
     */
    public static CompletableFuture<byte[]> read(
            Content.Source source, int maxBytes, ByteBudget held) {
        BodyReader reader = new BodyReader(source, maxBytes, held);
        reader.readAvailable();
        return reader.mResult.whenComplete((body, failure) -> held.release(reader.mBytes.size()));
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
            boolean isTaken = append(chunk.getByteBuffer());
            chunk.release();
            if (!isTaken) {
                BodyTooLargeException failure =
                        new BodyTooLargeException(
                                "a body has more than "
                                        + mMaxBytes
                                        + " bytes, or all bodies have too many");
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
