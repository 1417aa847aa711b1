package org.sequoiahill.daemon.request.stream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.SerializedInvoker;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.request.StreamRelay;
import org.sequoiahill.daemon.request.stream.ParkingPolicy.Reader;

/**
 * Relays one event stream from an endpoint to a caller through a bounded buffer of complete events.
 *
 * <p>All steps run serially. While the buffer is full, nothing is read from the endpoint, so
 * backpressure stops the engine. To free the engine, a stream can be parked: its request to the
 * endpoint is cancelled, and once the caller has drained the buffer, the stream is resumed after
 * its last complete event.
 */
final class BufferedStream {
    private static final long BUFFER_BYTES = 32 << 10;
    private static final int MAX_RESUMES_WITHOUT_PROGRESS = 8;
    private static final Duration RESUME_INTERVAL = Duration.ofMillis(250);

    private final BufferedStreamRelay mRelay;
    private final String mId;
    private final StreamRelay.Destination mDestination;
    private final Resumption mResumption;
    private final Consumer<Throwable> mOnEndpointFailure;
    private final SerializedInvoker mInvoker = new SerializedInvoker();
    private final EventStreamSplitter mSplitter = EventStreamSplitter.atStart();
    private final Deque<ByteBuffer> mQueue = new ArrayDeque<>();
    private volatile State mState = State.FLOWING;
    private final AtomicLong mBuffered = new AtomicLong();
    private volatile Duration mCallerLastReadAt;
    private Content.@Nullable Source mSource;
    private boolean mIsDemanding;
    private boolean mIsWriting;
    private boolean mIsBroken;
    private long mTokensAtResume = -1;
    private int mResumesWithoutProgress;

    private enum State {
        /** The endpoint's response is read. */
        FLOWING,
        /** The request was cancelled; the stream is resumed once the buffer is drained. */
        PARKED,
        /** An endpoint that continues the stream is sought. */
        RESUMING,
        /** All events are in the buffer or written. */
        ENDED,
        /** The last write has begun, or the caller has disconnected. */
        CLOSED
    }

    BufferedStream(
            BufferedStreamRelay relay,
            String id,
            StreamRelay.Destination destination,
            Resumption resumption,
            Consumer<Throwable> onEndpointFailure) {
        mRelay = relay;
        mId = id;
        mDestination = destination;
        mResumption = resumption;
        mOnEndpointFailure = onEndpointFailure;
        mCallerLastReadAt = relay.now();
    }

    void start(Content.Source source) {
        mInvoker.run(
                () -> {
                    mSource = source;
                    pump();
                });
    }

    boolean isFlowing() {
        return mState == State.FLOWING;
    }

    Reader reader() {
        return new Reader(mId, mBuffered.get(), mBuffered.get() >= BUFFER_BYTES, mCallerLastReadAt);
    }

    /**
     * Cancels the request to the endpoint; the stream is resumed once the caller has drained the
     * buffer. No effect unless the stream is flowing.
     */
    void park() {
        mInvoker.run(
                () -> {
                    Content.Source source = mSource;
                    if (mState != State.FLOWING || source == null || mSplitter.isDone()) {
                        return;
                    }
                    mState = State.PARKED;
                    mSource = null;
                    mIsDemanding = false;
                    mSplitter.discardIncomplete();
                    source.fail(
                            new IOException(
                                    "the stream is parked until the caller drains its buffer"));
                    mRelay.count("parked");
                    resumeIfDrained();
                });
    }

    private void pump() {
        while (mState == State.FLOWING && mSource != null && !mIsDemanding) {
            if (mBuffered.get() >= BUFFER_BYTES) {
                return;
            }
            Content.Chunk chunk = mSource.read();
            if (chunk == null) {
                mIsDemanding = true;
                demand(mSource);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                sourceFailed(chunk.getFailure());
                return;
            }
            mSplitter.append(chunk.getByteBuffer()).ifPresent(this::enqueue);
            boolean isLast = chunk.isLast();
            chunk.release();
            if (isLast || mSplitter.isEventTooLarge()) {
                finishReading(isLast);
                return;
            }
            write();
        }
    }

    private void demand(Content.Source source) {
        source.demand(
                () ->
                        mInvoker.run(
                                () -> {
                                    if (source == mSource) {
                                        mIsDemanding = false;
                                        pump();
                                    }
                                }));
    }

    private void finishReading(boolean isSourceEnded) {
        if (!isSourceEnded) {
            sourceFailed(
                    new IOException(
                            "an event exceeds " + EventStreamSplitter.MAX_EVENT_BYTES + " bytes"));
            return;
        }
        enqueue(mSplitter.incomplete());
        mSource = null;
        mState = State.ENDED;
        write();
    }

    private void sourceFailed(Throwable cause) {
        mSource = null;
        mIsDemanding = false;
        if (mSplitter.isDone()) {
            mState = State.ENDED;
            write();
            return;
        }
        mOnEndpointFailure.accept(cause);
        mRelay.count("broken");
        mSplitter.discardIncomplete();
        resume();
    }

    private void resumeIfDrained() {
        if (mState == State.PARKED && mBuffered.get() == 0 && !mIsWriting) {
            resume();
        }
    }

    private void resume() {
        mState = State.RESUMING;
        mResumesWithoutProgress =
                mSplitter.tokens() == mTokensAtResume ? mResumesWithoutProgress + 1 : 0;
        mTokensAtResume = mSplitter.tokens();
        if (mResumesWithoutProgress >= MAX_RESUMES_WITHOUT_PROGRESS) {
            failStream();
            return;
        }
        mResumption.resumeAfter(mSplitter.tokens(), rest -> mInvoker.run(() -> resumed(rest)));
    }

    private void retryResume() {
        if (mState == State.RESUMING) {
            resume();
        }
    }

    private void resumed(Optional<Content.Source> rest) {
        if (mState != State.RESUMING) {
            rest.ifPresent(source -> source.fail(new IOException("the caller has disconnected")));
            return;
        }
        if (rest.isEmpty()) {
            mRelay.schedule(RESUME_INTERVAL, () -> mInvoker.run(this::retryResume));
            return;
        }
        mRelay.count("resumed");
        mState = State.FLOWING;
        mSource = rest.get();
        pump();
    }

    /**
     * Ends the stream with an error event and without the end of the body, for callers that don't
     * know the event.
     */
    private void failStream() {
        mRelay.count("given_up");
        String event =
                "event: error\ndata: {\"error\":{\"code\":\"stream_broken\",\"message\":"
                        + "\"the response failed and could not be resumed\",\"tokens\":%d}}\n\n"
                                .formatted(mSplitter.tokens());
        enqueue(ByteBuffer.wrap(event.getBytes(StandardCharsets.UTF_8)));
        mIsBroken = true;
        mState = State.ENDED;
        write();
    }

    private void enqueue(ByteBuffer bytes) {
        if (bytes.hasRemaining()) {
            mQueue.add(bytes);
            mBuffered.addAndGet(bytes.remaining());
            mRelay.addBuffered(bytes.remaining());
        }
    }

    private void write() {
        if (mIsWriting || mState == State.CLOSED) {
            return;
        }
        ByteBuffer next = mQueue.poll();
        if (next != null) {
            mIsWriting = true;
            long bytes = next.remaining();
            mDestination
                    .response()
                    .write(
                            false,
                            next,
                            Callback.from(
                                    () -> mInvoker.run(() -> written(bytes)),
                                    failure -> mInvoker.run(() -> callerDisconnected(failure))));
        } else if (mState == State.ENDED) {
            mState = State.CLOSED;
            mRelay.remove(mId);
            if (mIsBroken) {
                mDestination.callback().failed(new IOException("the stream can't be resumed"));
                return;
            }
            mDestination.response().write(true, ByteBuffer.allocate(0), mDestination.callback());
        }
    }

    private void written(long bytes) {
        mIsWriting = false;
        mBuffered.addAndGet(-bytes);
        mRelay.addBuffered(-bytes);
        mCallerLastReadAt = mRelay.now();
        write();
        pump();
        resumeIfDrained();
    }

    private void callerDisconnected(Throwable failure) {
        mState = State.CLOSED;
        mRelay.remove(mId);
        mRelay.addBuffered(-mBuffered.getAndSet(0));
        mQueue.clear();
        Content.Source source = mSource;
        mSource = null;
        if (source != null) {
            source.fail(failure);
        }
        mRelay.count("caller_gone");
        mDestination.callback().failed(failure);
    }
}
