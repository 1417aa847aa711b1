package org.sequoiahill.daemon.version.fetch;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.version.cache.ChunkStore;
import org.sequoiahill.protocol.document.ServiceDocument;

/**
 * Serves other agents the chunks that this agent holds, at {@code /chunks/DIGEST}.
 *
 * <p>Responds 200 with the chunk, 303 with the addresses of other holders, 404 if it can't start to
 * send the chunk within the time that the requester waits, or 400 if the digest is malformed.
 */
public final class ChunkHandler extends Handler.Abstract {
    private static final String PREFIX = "/chunks/";
    private static final long MAX_WAIT_MILLIS = 5_000;
    private static final int MAX_REDIRECTS_HEADER_VALUE = 1_000;
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}");
    private static final Pattern ADDRESS = Pattern.compile("[0-9a-fA-F.:]{2,45}:[0-9]{1,5}");

    private final ChunkStore mStore;
    private final HolderTable mHolders;
    private final ChunkSender mSender;
    private final ScheduledExecutorService mScheduler;
    private final Map<String, Queue<ChunkRequest>> mWaitingForCopy = new ConcurrentHashMap<>();
    private final Queue<ChunkRequest> mWaitingForSlot = new ConcurrentLinkedQueue<>();

    private ChunkHandler(
            ChunkStore store,
            HolderTable holders,
            ChunkSender sender,
            ScheduledExecutorService scheduler) {
        mStore = store;
        mHolders = holders;
        mSender = sender;
        mScheduler = scheduler;
    }

    /** Returns a handler that serves the chunks of a store. */
    public static ChunkHandler over(
            ChunkStore store,
            HolderTable holders,
            ChunkSender sender,
            ScheduledExecutorService scheduler) {
        return new ChunkHandler(store, holders, sender, scheduler);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (!path.startsWith(PREFIX)) {
            return false;
        }
        String digest = path.substring(PREFIX.length());
        if (!ServiceDocument.DIGEST.matcher(digest).matches()) {
            Response.writeError(request, response, callback, HttpStatus.BAD_REQUEST_400);
            return true;
        }
        ChunkRequest chunkRequest = new ChunkRequest(digest, request, response, callback);
        long wait = Math.min(MAX_WAIT_MILLIS, number(request, ChunkHeaders.WAIT));
        if (mStore.locate(digest).isPresent()) {
            chunkRequest.startTimeout(wait);
            decide(chunkRequest);
            return true;
        }
        if (wait == 0) {
            chunkRequest.respondWithoutChunk(HttpStatus.NOT_FOUND_404);
            return true;
        }
        CompletableFuture<Void> arrival = mStore.await(digest);
        arrival.thenRunAsync(() -> decide(chunkRequest), mScheduler);
        chunkRequest.startTimeout(wait);
        mScheduler.schedule(() -> arrival.cancel(false), wait, TimeUnit.MILLISECONDS);
        return true;
    }

    private void decide(ChunkRequest chunkRequest) {
        if (chunkRequest.isClaimed()) {
            return;
        }
        HolderTable.Decision decision =
                mHolders.decide(
                        chunkRequest.mDigest, chunkRequest.mAddress, chunkRequest.mRedirects);
        if (decision instanceof HolderTable.Decision.Send) {
            send(chunkRequest);
        } else if (decision instanceof HolderTable.Decision.Redirect redirect) {
            chunkRequest.redirect(String.join(",", redirect.addresses()));
        } else if (decision instanceof HolderTable.Decision.WaitForSlot) {
            mWaitingForSlot.add(chunkRequest);
        } else {
            mWaitingForCopy
                    .computeIfAbsent(chunkRequest.mDigest, key -> new ConcurrentLinkedQueue<>())
                    .add(chunkRequest);
        }
    }

    private void send(ChunkRequest chunkRequest) {
        if (!chunkRequest.claim()) {
            mHolders.sendFailed(chunkRequest.mDigest);
            return;
        }
        CompletableFuture<Void> sending =
                mStore.locate(chunkRequest.mDigest)
                        .map(location -> mSender.send(location, chunkRequest.mResponse))
                        .orElseGet(
                                () ->
                                        CompletableFuture.failedFuture(
                                                new IllegalStateException("chunk was evicted")));
        sending.whenCompleteAsync(
                (nothing, failure) -> onSendEnd(chunkRequest, failure), mScheduler);
    }

    private void onSendEnd(ChunkRequest chunkRequest, Throwable failure) {
        if (failure == null) {
            mHolders.sendCompleted(chunkRequest.mDigest, chunkRequest.mAddress);
            chunkRequest.mCallback.succeeded();
        } else {
            mHolders.sendFailed(chunkRequest.mDigest);
            chunkRequest.mCallback.failed(failure);
        }
        decideWaiting(chunkRequest.mDigest);
        ChunkRequest nextRequest = mWaitingForSlot.poll();
        while (nextRequest != null && nextRequest.isClaimed()) {
            nextRequest = mWaitingForSlot.poll();
        }
        if (nextRequest != null) {
            decide(nextRequest);
        }
    }

    private void decideWaiting(String digest) {
        Queue<ChunkRequest> waiting = mWaitingForCopy.remove(digest);
        if (waiting != null) {
            waiting.forEach(this::decide);
        }
    }

    private static int number(Request request, String header) {
        String text = String.valueOf(request.getHeaders().get(header));
        return NUMBER.matcher(text).matches() ? Integer.parseInt(text) : 0;
    }

    /**
     * One request for a chunk; only the caller for which {@link #claim} returns true may respond.
     */
    private final class ChunkRequest {
        private final String mDigest;
        private final String mAddress;
        private final int mRedirects;
        private final Response mResponse;
        private final Callback mCallback;
        private final AtomicBoolean mIsClaimed = new AtomicBoolean();

        ChunkRequest(String digest, Request request, Response response, Callback callback) {
            mDigest = digest;
            String address = String.valueOf(request.getHeaders().get(ChunkHeaders.REQUESTER));
            mAddress = ADDRESS.matcher(address).matches() ? address : "";
            mRedirects =
                    Math.min(MAX_REDIRECTS_HEADER_VALUE, number(request, ChunkHeaders.REDIRECTS));
            mResponse = response;
            mCallback = callback;
        }

        void startTimeout(long waitMillis) {
            mScheduler.schedule(
                    () -> respondWithoutChunk(HttpStatus.NOT_FOUND_404),
                    Math.max(1, waitMillis),
                    TimeUnit.MILLISECONDS);
        }

        boolean isClaimed() {
            return mIsClaimed.get();
        }

        boolean claim() {
            return mIsClaimed.compareAndSet(false, true);
        }

        void respondWithoutChunk(int status) {
            if (claim()) {
                mResponse.getHeaders().put(ChunkHeaders.PROGRESS, mSender.received());
                mResponse.setStatus(status);
                mCallback.succeeded();
            }
        }

        void redirect(String holders) {
            if (claim()) {
                mResponse.setStatus(HttpStatus.SEE_OTHER_303);
                mResponse.getHeaders().put(ChunkHeaders.HOLDERS, holders);
                mCallback.succeeded();
            }
        }
    }
}
