package org.sequoiahill.daemon.connection;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;

/** Reads a body whole into memory without blocking, and gives up once it is too large. */
public final class BodyReader {
    private final Content.Source mSource;
    private final int mMaxBytes;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> mResult = new CompletableFuture<>();

    private BodyReader(Content.Source source, int maxBytes) {
        mSource = source;
        mMaxBytes = maxBytes;
    }

    /** Signals that a body has more bytes than are taken. */
    public static final class BodyTooLargeException extends Exception {
        private static final long serialVersionUID = 1L;

        BodyTooLargeException(int maxBytes) {
            super("a body has at most " + maxBytes + " bytes");
        }
    }

    /**
     * Returns the bytes of a body; fails with {@link BodyTooLargeException} over the bound, and
     * with the cause where the peer cuts the body short.
     */
    public static CompletableFuture<byte[]> read(Content.Source source, int maxBytes) {
        BodyReader reader = new BodyReader(source, maxBytes);
        reader.readOn();
        return reader.mResult;
    }

    private void readOn() {
        while (true) {
            Content.Chunk chunk = mSource.read();
            if (chunk == null) {
                mSource.demand(this::readOn);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                mResult.completeExceptionally(chunk.getFailure());
                return;
            }
            take(chunk.getByteBuffer());
            chunk.release();
            if (mBytes.size() > mMaxBytes) {
                BodyTooLargeException failure = new BodyTooLargeException(mMaxBytes);
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

    private void take(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        mBytes.write(bytes, 0, bytes.length);
    }
}
