package org.sequoiahill.daemon.version.fetch;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.sequoiahill.daemon.version.cache.ChunkWriter;
import org.sequoiahill.protocol.weights.Manifest;
import org.sequoiahill.protocol.weights.Manifest.Chunk;

/** Fetches single chunks over HTTP, straight to their place on disk. */
public final class ChunkClient {
    private static final Duration PEER_WAIT = Duration.ofSeconds(2);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration TOTAL_TIMEOUT = Duration.ofMinutes(2);
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,4}");
    private static final Pattern PROGRESS = Pattern.compile("[0-9]{1,18}");
    private static final int MAX_HOLDERS = 16;

    private final HttpClient mClient;
    private final URI mServiceAtOrigin;
    private final String mOwnAddress;
    private final TokenBucket mBucket;
    private final TransferCounts mCounts;
    private final ScheduledExecutorService mScheduler;

    private ChunkClient(
            HttpClient client,
            URI serviceAtOrigin,
            String ownAddress,
            TokenBucket bucket,
            TransferCounts counts,
            ScheduledExecutorService scheduler) {
        mClient = client;
        mServiceAtOrigin = serviceAtOrigin;
        mOwnAddress = ownAddress;
        mBucket = bucket;
        mCounts = counts;
        mScheduler = scheduler;
    }

    /**
     * Returns a client whose downloads share the rate limit of a bucket.
     *
     * @param serviceAtOrigin URI at the origin under which the service's versions are
     * @param ownAddress address at which this agent serves chunks
     */
    public static ChunkClient of(
            HttpClient client,
            URI serviceAtOrigin,
            String ownAddress,
            TokenBucket bucket,
            TransferCounts counts,
            ScheduledExecutorService scheduler) {
        return new ChunkClient(client, serviceAtOrigin, ownAddress, bucket, counts, scheduler);
    }

    /** Outcome of an attempt. */
    sealed interface FetchResult {
        /** The chunk is verified and stored. */
        record Stored() implements FetchResult {}

        /** The peer redirects to other holders. */
        record Redirected(List<String> addresses) implements FetchResult {}

        /**
         * The peer responded but did not send the chunk in time, usually because it does not hold
         * it yet.
         *
         * @param progress bytes of chunks that the peer has received, 0 if it did not say
         */
        record Pending(long progress) implements FetchResult {}

        /** The attempt failed; {@code retryAfter} is zero if the source names no delay. */
        record Failed(AttemptFailure failure, Duration retryAfter) implements FetchResult {}

        /** The disk of this VM failed or is full. */
        record DiskFailed(IOException cause) implements FetchResult {}
    }

    /** Fetches a chunk; the future never fails. */
    CompletableFuture<FetchResult> fetch(
            FetchAttempt attempt, Manifest manifest, Chunk chunk, ChunkWriter writer) {
        Request request =
                attempt.source() instanceof Source.Peer peer
                        ? peerRequest(peer, chunk, attempt.redirects())
                        : originRequest(manifest, chunk);
        Download download = new Download(attempt.source(), chunk, writer);
        request.followRedirects(false)
                .idleTimeout(IDLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .timeout(TOTAL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .onResponseContentAsync(download::onContent)
                .send(download::onEnd);
        return download.mResult;
    }

    private Request peerRequest(Source.Peer peer, Chunk chunk, int redirects) {
        String wait = peer.canWait() ? String.valueOf(PEER_WAIT.toMillis()) : "0";
        URI uri = URI.create("http://" + peer.member().address() + "/chunks/" + chunk.digest());
        return mClient.newRequest(uri)
                .headers(
                        headers ->
                                headers.put(ChunkHeaders.REQUESTER, mOwnAddress)
                                        .put(ChunkHeaders.WAIT, wait)
                                        .put(ChunkHeaders.REDIRECTS, String.valueOf(redirects)));
    }

    private Request originRequest(Manifest manifest, Chunk chunk) {
        String range = "bytes=" + chunk.offset() + "-" + (chunk.offset() + chunk.bytes() - 1);
        URI uri = URI.create(mServiceAtOrigin + "/" + manifest.version() + "/" + chunk.file());
        return mClient.newRequest(uri).headers(headers -> headers.put(HttpHeader.RANGE, range));
    }

    /** Consumes the response to one attempt. */
    private final class Download {
        private final Source mSource;
        private final Chunk mChunk;
        private final ChunkWriter mWriter;
        private final CompletableFuture<FetchResult> mResult = new CompletableFuture<>();

        Download(Source source, Chunk chunk, ChunkWriter writer) {
            mSource = source;
            mChunk = chunk;
            mWriter = writer;
        }

        void onContent(Response response, Content.Chunk content, Runnable demander) {
            int bytes = content.remaining();
            if (!carriesChunk(response)) {
                demander.run();
                return;
            }
            mCounts.received(mSource, bytes);
            if (!write(response, content.getByteBuffer())) {
                return;
            }
            Duration delay = mBucket.reserve(bytes);
            if (delay.isZero()) {
                demander.run();
            } else {
                mScheduler.schedule(demander, delay.toNanos(), TimeUnit.NANOSECONDS);
            }
        }

        void onEnd(Result result) {
            mResult.complete(outcome(result));
        }

        private boolean write(Response response, ByteBuffer bytes) {
            try {
                if (mWriter.write(bytes)) {
                    return true;
                }
                mResult.complete(finishWriting());
            } catch (IOException e) {
                mResult.complete(new FetchResult.DiskFailed(e));
            }
            response.abort(new IOException("the rest of the response is not needed"));
            return false;
        }

        private FetchResult outcome(Result result) {
            Response response = result.getResponse();
            if (result.isFailed()) {
                boolean isTimeout =
                        result.getFailure() instanceof java.util.concurrent.TimeoutException;
                return failed(isTimeout ? AttemptFailure.SILENT : AttemptFailure.UNREACHABLE);
            }
            if (carriesChunk(response)) {
                return finishWriting();
            }
            return switch (response.getStatus()) {
                case HttpStatus.SEE_OTHER_303 -> new FetchResult.Redirected(holders(response));
                case HttpStatus.TOO_MANY_REQUESTS_429, HttpStatus.SERVICE_UNAVAILABLE_503 ->
                        new FetchResult.Failed(AttemptFailure.THROTTLED, retryAfter(response));
                case HttpStatus.NOT_FOUND_404 ->
                        mSource instanceof Source.Peer
                                ? new FetchResult.Pending(progress(response))
                                : failed(AttemptFailure.UNREACHABLE);
                default -> failed(AttemptFailure.UNREACHABLE);
            };
        }

        private FetchResult finishWriting() {
            return switch (mWriter.finish()) {
                case STORED -> new FetchResult.Stored();
                case SUPERSEDED -> failed(AttemptFailure.SUPERSEDED);
                case CORRUPT -> failed(AttemptFailure.WRONG);
            };
        }

        private boolean carriesChunk(Response response) {
            boolean startsWithChunk = mSource instanceof Source.Peer || mChunk.offset() == 0;
            return response.getStatus() == HttpStatus.PARTIAL_CONTENT_206
                    || (response.getStatus() == HttpStatus.OK_200 && startsWithChunk);
        }
    }

    private static FetchResult failed(AttemptFailure failure) {
        return new FetchResult.Failed(failure, Duration.ZERO);
    }

    private static List<String> holders(Response response) {
        String text = String.valueOf(response.getHeaders().get(ChunkHeaders.HOLDERS));
        return List.of(text.split(",", MAX_HOLDERS));
    }

    private static long progress(Response response) {
        String text = String.valueOf(response.getHeaders().get(ChunkHeaders.PROGRESS));
        return PROGRESS.matcher(text).matches() ? Long.parseLong(text) : 0;
    }

    private static Duration retryAfter(Response response) {
        String text = String.valueOf(response.getHeaders().get(HttpHeader.RETRY_AFTER));
        return SECONDS.matcher(text).matches()
                ? Duration.ofSeconds(Long.parseLong(text))
                : Duration.ZERO;
    }
}
