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
 * Serves chunks that this agent holds to other agents, at {@code /chunks/DIGEST}.
 *
 * <p>Answers 200 with the chunk, 303 with the addresses of other holders, or 404 where the chunk
 * did not come within the time that the asker waits.
 */
public final class ChunkHandler extends Handler.Abstract {
    private static final String PREFIX = "/chunks/";
    private static final long MAX_WAIT_MILLIS = 5_000;
    private static final int MAX_REDIRECTS = 1_000;
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

    /** Returns a handler over a store of chunks. */
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
        ChunkRequest asker = new ChunkRequest(digest, request, response, callback);
        long wait = Math.min(MAX_WAIT_MILLIS, number(request, ChunkHeaders.WAIT));
        if (mStore.locate(digest).isPresent()) {
            asker.startTimeout(wait);
            decide(asker);
            return true;
        }
        if (wait == 0) {
            asker.answerWithoutChunk(HttpStatus.NOT_FOUND_404);
            return true;
        }
        CompletableFuture<Void> arrival = mStore.await(digest);
        arrival.thenRunAsync(() -> decide(asker), mScheduler);
        asker.startTimeout(wait);
        mScheduler.schedule(() -> arrival.cancel(false), wait, TimeUnit.MILLISECONDS);
        return true;
    }

    private void decide(ChunkRequest asker) {
        if (asker.isAnswered()) {
            return;
        }
        HolderTable.Decision decision =
                mHolders.decide(asker.mDigest, asker.mAddress, asker.mRedirects);
        if (decision instanceof HolderTable.Decision.Send) {
            send(asker);
        } else if (decision instanceof HolderTable.Decision.Redirect sendOn) {
            asker.redirect(String.join(",", sendOn.addresses()));
        } else if (decision instanceof HolderTable.Decision.WaitForSlot) {
            mWaitingForSlot.add(asker);
        } else {
            mWaitingForCopy
                    .computeIfAbsent(asker.mDigest, key -> new ConcurrentLinkedQueue<>())
                    .add(asker);
        }
    }

    private void send(ChunkRequest asker) {
        if (!asker.claim()) {
            mHolders.sendFailed(asker.mDigest);
            return;
        }
        CompletableFuture<Void> sending =
                mStore.locate(asker.mDigest)
                        .map(location -> mSender.send(location, asker.mResponse))
                        .orElseGet(
                                () ->
                                        CompletableFuture.failedFuture(
                                                new IllegalStateException("chunk was evicted")));
        sending.whenCompleteAsync((nothing, failure) -> onSendEnd(asker, failure), mScheduler);
    }

    private void onSendEnd(ChunkRequest asker, Throwable failure) {
        if (failure == null) {
            mHolders.sendCompleted(asker.mDigest, asker.mAddress);
            asker.mCallback.succeeded();
        } else {
            mHolders.sendFailed(asker.mDigest);
            asker.mCallback.failed(failure);
        }
        decideWaiting(asker.mDigest);
        ChunkRequest next = mWaitingForSlot.poll();
        while (next != null && next.isAnswered()) {
            next = mWaitingForSlot.poll();
        }
        if (next != null) {
            decide(next);
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

    /** One request for a chunk; exactly one of its ends takes place. */
    private final class ChunkRequest {
        private final String mDigest;
        private final String mAddress;
        private final int mRedirects;
        private final Response mResponse;
        private final Callback mCallback;
        private final AtomicBoolean mIsAnswered = new AtomicBoolean();

        ChunkRequest(String digest, Request request, Response response, Callback callback) {
            mDigest = digest;
            String address = String.valueOf(request.getHeaders().get(ChunkHeaders.REQUESTER));
            mAddress = ADDRESS.matcher(address).matches() ? address : "";
            mRedirects = Math.min(MAX_REDIRECTS, number(request, ChunkHeaders.REDIRECTS));
            mResponse = response;
            mCallback = callback;
        }

        void startTimeout(long waitMillis) {
            mScheduler.schedule(
                    () -> answerWithoutChunk(HttpStatus.NOT_FOUND_404),
                    Math.max(1, waitMillis),
                    TimeUnit.MILLISECONDS);
        }

        boolean isAnswered() {
            return mIsAnswered.get();
        }

        boolean claim() {
            return mIsAnswered.compareAndSet(false, true);
        }

        void answerWithoutChunk(int status) {
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
