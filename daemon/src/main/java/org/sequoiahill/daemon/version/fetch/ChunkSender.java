package org.sequoiahill.daemon.version.fetch;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.version.cache.ChunkStore.Location;

/** Sends chunks from disk at the rate of a bucket, in slices to bound memory. */
public final class ChunkSender {
    private static final int SLICE_BYTES = 64 << 10;

    private final TokenBucket mBucket;
    private final TransferCounts mCounts;
    private final ScheduledExecutorService mScheduler;

    private ChunkSender(
            TokenBucket bucket, TransferCounts counts, ScheduledExecutorService scheduler) {
        mBucket = bucket;
        mCounts = counts;
        mScheduler = scheduler;
    }

    /** Returns a sender whose transfers share the rate limit of a bucket. */
    public static ChunkSender of(
            TokenBucket bucket, TransferCounts counts, ScheduledExecutorService scheduler) {
        return new ChunkSender(bucket, counts, scheduler);
    }

    /** Returns the bytes of chunks that this agent has received. */
    long received() {
        return mCounts.fromOrigin() + mCounts.fromPeers();
    }

    /** Sends a chunk; the future fails if the disk or the connection fails. */
    CompletableFuture<Void> send(Location location, Response response) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, location.bytes());
        new Transfer(location, response, done).sendFrom(0);
        return done;
    }

    private final class Transfer {
        private final Location mLocation;
        private final Response mResponse;
        private final CompletableFuture<Void> mDone;

        Transfer(Location location, Response response, CompletableFuture<Void> done) {
            mLocation = location;
            mResponse = response;
            mDone = done;
        }

        void sendFrom(int sent) {
            try {
                ByteBuffer slice = read(sent);
                int next = sent + slice.remaining();
                Duration delay = mBucket.reserve(slice.remaining());
                mScheduler.schedule(
                        () -> write(slice, next), delay.toNanos(), TimeUnit.NANOSECONDS);
            } catch (IOException e) {
                mDone.completeExceptionally(e);
            }
        }

        private void write(ByteBuffer slice, int next) {
            mCounts.sent(slice.remaining());
            boolean isLast = next == mLocation.bytes();
            try {
                mResponse.write(isLast, slice, afterWrite(isLast, next));
            } catch (RuntimeException e) {
                // The scheduler would drop the exception, and the send slot would never be
                // released.
                mDone.completeExceptionally(e);
            }
        }

        private Callback afterWrite(boolean isLast, int next) {
            return Callback.from(
                    () -> {
                        if (isLast) {
                            mDone.complete(null);
                        } else {
                            sendFrom(next);
                        }
                    },
                    mDone::completeExceptionally);
        }

        private ByteBuffer read(int sent) throws IOException {
            ByteBuffer slice = ByteBuffer.allocate(Math.min(SLICE_BYTES, mLocation.bytes() - sent));
            try (FileChannel channel =
                    FileChannel.open(mLocation.file(), StandardOpenOption.READ)) {
                while (slice.hasRemaining()) {
                    long position = mLocation.offset() + sent + slice.position();
                    if (channel.read(slice, position) < 0) {
                        throw new IOException("chunk is truncated on disk: " + mLocation.file());
                    }
                }
            }
            return slice.flip();
        }
    }
}
