package org.sequoiahill.daemon.request.direct;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.BodyBuffer;
import org.sequoiahill.daemon.connection.HeldBytes;
import org.sequoiahill.daemon.request.Refusal;

/**
 * Reads the body of a caller's request into memory, or refuses the request.
 *
 * <p>A refusal is written at once, also while the caller is still sending. The rest of the body is
 * then read and discarded, as a connection that is closed with unread bytes is reset, and a reset
 * can destroy the response.
 */
final class RequestUpload implements ActiveExchanges.Upload {
    /** Minimum time for which the rest of a refused body is discarded. */
    private static final Duration MIN_DISCARD_TIME = Duration.ofSeconds(1);

    /** Maximum time for which the rest of a refused body is discarded. */
    private static final Duration MAX_DISCARD_TIME = Duration.ofSeconds(10);

    /** Time after which a caller may retry a request for whose body there was no room. */
    private static final Duration NO_ROOM_RETRY_AFTER = Duration.ofSeconds(1);

    private final DirectServices mServices;
    private final Request mRequest;
    private final Response mResponse;
    private final Callback mCallback;
    private final int mMaxBytes;
    private final Duration mDeadline;
    private final Consumer<Refusal> mOnRefused;
    private final HeldBytes mHeld;
    private final AtomicReference<State> mState = new AtomicReference<>(State.READING);
    private final AtomicReference<@Nullable Refusal> mUnwritten = new AtomicReference<>();

    /** Writing the refusal and discarding the rest of the body. */
    private final AtomicInteger mOpenTasks = new AtomicInteger(2);

    private final AtomicBoolean mIsDone = new AtomicBoolean();
    private volatile Duration mDiscardDeadline;
    private volatile @Nullable BodyBuffer mBuffer;
    private BiConsumer<ByteBuffer, Callback> mOnComplete = (body, callback) -> {};
    private long mReceivedBytes;

    private enum State {
        READING,
        REFUSED,
        ENDED
    }

    /**
     * Creates an upload that has not started.
     *
     * @param maxBytes maximum size of the body
     * @param deadline time by which the body must be complete
     * @param onRefused called before a refusal is written
     */
    RequestUpload(
            DirectServices services,
            Request request,
            Response response,
            Callback callback,
            int maxBytes,
            Duration deadline,
            Consumer<Refusal> onRefused) {
        mServices = services;
        mRequest = request;
        mResponse = response;
        mCallback = callback;
        mMaxBytes = maxBytes;
        mDeadline = deadline;
        mDiscardDeadline = deadline;
        mOnRefused = onRefused;
        mHeld = services.memory().holdRequest();
    }

    /**
     * Reads the body.
     *
     * @param onComplete called with the complete body and the callback that ends the request and
     *     releases the memory of the body; not called if the request is refused or the body is
     *     truncated
     */
    void read(BiConsumer<ByteBuffer, Callback> onComplete) {
        mOnComplete = onComplete;
        BodyBuffer buffer = BodyBuffer.of(mRequest.getLength(), mMaxBytes, mHeld);
        mBuffer = buffer;
        Optional<Refusal> refusal = refusalOf(buffer.reserveStatedLength());
        if (refusal.isPresent()) {
            refuse(refusal.get());
        } else {
            readAvailable();
        }
    }

    /** Refuses the request before any of its body has been read. */
    void refuse(Refusal refusal) {
        setRefused(refusal);
        if (hasNoBody() || isAwaitingContinue()) {
            writeRefusal(hasNoBody());
            endTask();
        } else {
            readAvailable();
        }
    }

    @Override
    public void checkTimeouts() {
        Duration now = mServices.clock().now();
        if (mState.get() == State.READING) {
            if (mServices.activeExchanges().isEnding()) {
                refuseLate(
                        Refusal.overloaded(
                                "entry_leaving", "this process is stopping", Duration.ZERO));
            } else if (now.compareTo(mDeadline) >= 0) {
                refuseLate(
                        Refusal.invalid(408, "upload_timeout", "the body has not arrived in time"));
            }
        } else if (mState.get() == State.REFUSED && now.compareTo(mDiscardDeadline) >= 0) {
            fail(new TimeoutException("the rest of a refused body has not arrived in time"));
        }
    }

    /** Refuses the request while {@link #readAvailable} may be running or waiting. */
    private void refuseLate(Refusal refusal) {
        if (setRefused(refusal)) {
            writeRefusal(false);
        }
    }

    /**
     * Makes a refusal the result, unless there is one, and lets the rest of the body be discarded;
     * returns whether it is the result.
     */
    private boolean setRefused(Refusal refusal) {
        Duration now = mServices.clock().now();
        mDiscardDeadline =
                Collections.min(
                        List.of(
                                now.plus(MAX_DISCARD_TIME),
                                Collections.max(List.of(now.plus(MIN_DISCARD_TIME), mDeadline))));
        if (!mState.compareAndSet(State.READING, State.REFUSED)) {
            return false;
        }
        mBuffer = null;
        mHeld.release();
        mOnRefused.accept(refusal);
        mUnwritten.set(refusal);
        return true;
    }

    private void readAvailable() {
        while (true) {
            Content.Chunk chunk = mRequest.read();
            if (chunk == null) {
                writeRefusal(false);
                watch();
                mRequest.demand(this::readAvailable);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                fail(chunk.getFailure());
                return;
            }
            accept(chunk.getByteBuffer());
            chunk.release();
            if (chunk.isLast()) {
                onEnd();
                return;
            }
            if (mReceivedBytes > 2L * mMaxBytes) {
                writeRefusal(false);
                fail(new IOException("the rest of a refused body is too large"));
                return;
            }
        }
    }

    private void accept(ByteBuffer bytes) {
        mReceivedBytes += bytes.remaining();
        BodyBuffer buffer = mBuffer;
        if (buffer != null) {
            refusalOf(buffer.add(bytes)).ifPresent(this::setRefused);
        }
    }

    private void onEnd() {
        BodyBuffer buffer = mBuffer;
        if (buffer != null && mState.compareAndSet(State.READING, State.ENDED)) {
            mBuffer = null;
            mServices.activeExchanges().remove(this);
            mOnComplete.accept(buffer.bytes(), Callback.from(mHeld::release, mCallback));
            return;
        }
        writeRefusal(true);
        endTask();
    }

    private Optional<Refusal> refusalOf(BodyBuffer.Result result) {
        return switch (result) {
            case ADDED -> Optional.empty();
            case TOO_LARGE -> Optional.of(tooLarge(mMaxBytes));
            case NO_ROOM ->
                    Optional.of(
                            Refusal.overloaded(
                                    "memory_full",
                                    "this entry holds as many bytes as it may",
                                    NO_ROOM_RETRY_AFTER));
        };
    }

    /** Returns the refusal of a request with a body of more than {@code maxBytes}. */
    static Refusal tooLarge(int maxBytes) {
        return Refusal.invalid(
                413, "body_too_large", "request body exceeds " + maxBytes + " bytes");
    }

    /** Writes the refusal, if there is one that has not been written. */
    private void writeRefusal(boolean isBodyRead) {
        Refusal refusal = mUnwritten.getAndSet(null);
        if (refusal == null) {
            return;
        }
        if (!isBodyRead) {
            mResponse.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
        refusal.write(
                mResponse,
                mServices.headerCodec().formatRetryAfter(refusal.retryAfter()),
                Callback.from(this::endTask, this::fail));
    }

    private void endTask() {
        if (mOpenTasks.decrementAndGet() == 0 && mIsDone.compareAndSet(false, true)) {
            mServices.activeExchanges().remove(this);
            mCallback.succeeded();
        }
    }

    private void fail(Throwable failure) {
        mState.compareAndSet(State.READING, State.ENDED);
        if (mIsDone.compareAndSet(false, true)) {
            mHeld.release();
            mServices.activeExchanges().remove(this);
            mCallback.failed(failure);
        }
    }

    private void watch() {
        mServices.activeExchanges().add(this);
        if (mIsDone.get()) {
            mServices.activeExchanges().remove(this);
        }
    }

    private boolean hasNoBody() {
        return mRequest.getLength() <= 0
                && !mRequest.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    }

    /** Returns whether the caller sends the body only once it is asked for it. */
    private boolean isAwaitingContinue() {
        return mRequest.getHeaders()
                .contains(HttpHeader.EXPECT, HttpHeaderValue.CONTINUE.asString());
    }
}
