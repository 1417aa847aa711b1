package org.sequoiahill.examples;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Serves the files of a folder at a limited rate, counts the bytes sent per path and injects
 * faults.
 *
 * <p>{@code /admin/sent} returns the counts; {@code /admin/fault} sets the {@link OriginFault}.
 */
public final class OriginHandler extends Handler.Abstract {
    private static final Pattern RANGE = Pattern.compile("bytes=([0-9]{1,18})-([0-9]{1,18})");
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final int SLICE_BYTES = 64 << 10;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Path mFolder;
    private final long mBytesPerSecond;
    private final ScheduledExecutorService mScheduler = Executors.newScheduledThreadPool(2);
    private final Map<String, AtomicLong> mSent = new ConcurrentHashMap<>();
    private volatile OriginFault mFault = OriginFault.NONE;
    private long mLinkFreeAtNanos = System.nanoTime();

    private OriginHandler(Path folder, long bytesPerSecond) {
        mFolder = folder;
        mBytesPerSecond = bytesPerSecond;
    }

    /** Returns a handler over a folder; a rate of zero means no limit. */
    public static OriginHandler of(Path folder, long bytesPerSecond) {
        return new OriginHandler(folder, bytesPerSecond);
    }

    /** Returns the total number of bytes sent. */
    public long sentBytes() {
        return mSent.values().stream().mapToLong(AtomicLong::get).sum();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback)
            throws IOException {
        String path = Request.getPathInContext(request);
        switch (path) {
            case "/admin/sent" -> {
                ObjectNode sent = MAPPER.createObjectNode();
                mSent.forEach((key, bytes) -> sent.put(key, bytes.get()));
                StandInServer.sendJson(response, callback, 200, sent);
            }
            case "/admin/fault" -> {
                mFault = OriginFault.parse(MAPPER.readTree(Content.Source.asInputStream(request)));
                StandInServer.sendJson(response, callback, 200, "{}");
            }
            default -> serve(path, request, response, callback);
        }
        return true;
    }

    private void serve(String path, Request request, Response response, Callback callback)
            throws IOException {
        Path file = mFolder.resolve(path.substring(1)).normalize();
        if (!file.startsWith(mFolder) || !Files.isRegularFile(file)) {
            StandInServer.sendJson(response, callback, 404, "{}");
            return;
        }
        OriginFault.Kind fault = mFault.next();
        if (fault == OriginFault.Kind.THROTTLE) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, mFault.retryAfterSeconds());
            StandInServer.sendJson(response, callback, 429, "{}");
            return;
        }
        long first = 0;
        long end = Files.size(file);
        Matcher matcher = RANGE.matcher(String.valueOf(request.getHeaders().get(HttpHeader.RANGE)));
        if (matcher.matches()) {
            first = Long.parseLong(matcher.group(1));
            end = Math.min(end, Long.parseLong(matcher.group(2)) + 1);
            response.setStatus(206);
        }
        AtomicLong count = mSent.computeIfAbsent(path, key -> new AtomicLong());
        new Transfer(file, end, fault, count, response, callback).sendFrom(first);
    }

    /**
     * Reserves the link for some bytes, in the order of the calls; returns the delay in nanoseconds
     * after which they may be sent.
     */
    private synchronized long reserve(int bytes) {
        if (mBytesPerSecond == 0) {
            return 0;
        }
        long now = System.nanoTime();
        mLinkFreeAtNanos =
                Math.max(now, mLinkFreeAtNanos) + bytes * NANOS_PER_SECOND / mBytesPerSecond;
        return mLinkFreeAtNanos - now;
    }

    /** One response, sent slice by slice. */
    private final class Transfer {
        private final Path mFile;
        private final long mEnd;
        private final OriginFault.Kind mKind;
        private final AtomicLong mCount;
        private final Response mResponse;
        private final Callback mCallback;

        Transfer(
                Path file,
                long end,
                OriginFault.Kind kind,
                AtomicLong count,
                Response response,
                Callback callback) {
            mFile = file;
            mEnd = end;
            mKind = kind;
            mCount = count;
            mResponse = response;
            mCallback = callback;
        }

        void sendFrom(long position) {
            try {
                int bytes = (int) Math.min(SLICE_BYTES, mEnd - position);
                ByteBuffer slice = read(position, bytes);
                if (mKind == OriginFault.Kind.CORRUPT) {
                    slice.put(0, (byte) ~slice.get(0));
                }
                if (mKind == OriginFault.Kind.TRUNCATE) {
                    slice.limit(bytes / 2);
                }
                mScheduler.schedule(
                        () -> write(slice, position + bytes),
                        reserve(slice.remaining()),
                        TimeUnit.NANOSECONDS);
            } catch (IOException e) {
                mCallback.failed(e);
            }
        }

        private void write(ByteBuffer slice, long next) {
            mCount.addAndGet(slice.remaining());
            boolean isLast = next >= mEnd || mKind == OriginFault.Kind.TRUNCATE;
            if (mKind == OriginFault.Kind.STALL) {
                mResponse.write(false, slice, Callback.NOOP);
                return;
            }
            mResponse.write(
                    isLast,
                    slice,
                    isLast ? mCallback : Callback.from(() -> sendFrom(next), mCallback::failed));
        }

        private ByteBuffer read(long position, int bytes) throws IOException {
            ByteBuffer slice = ByteBuffer.allocate(bytes);
            try (FileChannel channel = FileChannel.open(mFile)) {
                while (slice.hasRemaining()) {
                    if (channel.read(slice, position + slice.position()) < 0) {
                        throw new IOException("file was truncated while it was sent: " + mFile);
                    }
                }
            }
            return slice.flip();
        }
    }
}
