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
 * One stream between an endpoint and a caller, with a bounded buffer of whole events.
 *
 * <p>All that happens to it runs one after another. While the buffer is full nothing is read, which
 * holds the engine up; a stream that is parked is cancelled there and goes on from its last whole
 * event once the reader has drained the buffer.
 */
final class BufferedStream {
    private static final long BUFFER_BYTES = 32 << 10;
    private static final int MAX_FRUITLESS_RESUMES = 8;
    private static final Duration RESUME_INTERVAL = Duration.ofMillis(250);

    private final StreamBuffers mOwner;
    private final String mId;
    private final StreamRelay.Destination mDestination;
    private final Resumption mResumption;
    private final Consumer<Throwable> mOnBroken;
    private final SerializedInvoker mInvoker = new SerializedInvoker();
    private final StreamCursor mCursor = StreamCursor.atStart();
    private final Deque<ByteBuffer> mQueue = new ArrayDeque<>();
    private volatile State mState = State.FLOWING;
    private final AtomicLong mBuffered = new AtomicLong();
    private volatile Duration mLastTaken;
    private Content.@Nullable Source mSource;
    private boolean mIsDemanding;
    private boolean mIsWriting;
    private long mTokensAtResume = -1;
    private int mFruitlessResumes;

    private enum State {
        FLOWING,
        PARKED,
        RESUMING,
        ENDED,
        CLOSED
    }

    BufferedStream(
            StreamBuffers owner,
            String id,
            StreamRelay.Destination destination,
            Resumption resumption,
            Consumer<Throwable> onBroken) {
        mOwner = owner;
        mId = id;
        mDestination = destination;
        mResumption = resumption;
        mOnBroken = onBroken;
        mLastTaken = owner.now();
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
        return new Reader(mId, mBuffered.get(), mBuffered.get() >= BUFFER_BYTES, mLastTaken);
    }

    /** Cancels the stream at the engine until the reader has drained the buffer. */
    void park() {
        mInvoker.run(
                () -> {
                    Content.Source source = mSource;
                    if (mState != State.FLOWING || source == null || mCursor.isDone()) {
                        return;
                    }
                    mState = State.PARKED;
                    mSource = null;
                    mIsDemanding = false;
                    mCursor.resume();
                    source.fail(new IOException("the reader is parked"));
                    mOwner.count("parked");
                    resumeOnceDrained();
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
                broke(chunk.getFailure());
                return;
            }
            mCursor.take(chunk.getByteBuffer()).ifPresent(this::enqueue);
            boolean isLast = chunk.isLast();
            chunk.release();
            if (isLast || mCursor.isOverBound()) {
                ended(isLast);
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

    private void ended(boolean isWhole) {
        if (!isWhole) {
            broke(new IOException("an event is over its bound"));
            return;
        }
        enqueue(mCursor.rest());
        mSource = null;
        mState = State.ENDED;
        write();
    }

    private void broke(Throwable cause) {
        mSource = null;
        mIsDemanding = false;
        if (mCursor.isDone()) {
            mState = State.ENDED;
            write();
            return;
        }
        mOnBroken.accept(cause);
        mOwner.count("broken");
        mCursor.resume();
        resume();
    }

    private void resumeOnceDrained() {
        if (mState == State.PARKED && mBuffered.get() == 0 && !mIsWriting) {
            resume();
        }
    }

    private void resume() {
        mState = State.RESUMING;
        mFruitlessResumes = mCursor.tokens() == mTokensAtResume ? mFruitlessResumes + 1 : 0;
        mTokensAtResume = mCursor.tokens();
        if (mFruitlessResumes >= MAX_FRUITLESS_RESUMES) {
            giveUp();
            return;
        }
        mResumption.from(mCursor.tokens(), rest -> mInvoker.run(() -> resumed(rest)));
    }

    private void resumeAgain() {
        if (mState == State.RESUMING) {
            resume();
        }
    }

    private void resumed(Optional<Content.Source> rest) {
        if (mState != State.RESUMING) {
            rest.ifPresent(source -> source.fail(new IOException("the caller is gone")));
            return;
        }
        if (rest.isEmpty()) {
            mOwner.later(RESUME_INTERVAL, () -> mInvoker.run(this::resumeAgain));
            return;
        }
        mOwner.count("resumed");
        mState = State.FLOWING;
        mSource = rest.get();
        pump();
    }

    /** Tells the caller at once that the rest does not come. */
    private void giveUp() {
        mOwner.count("given_up");
        String event =
                "event: error\ndata: {\"error\":{\"code\":\"stream_broken\",\"message\":"
                        + "\"the answer broke off and can't go on\",\"tokens\":%d}}\n\n"
                                .formatted(mCursor.tokens());
        enqueue(ByteBuffer.wrap(event.getBytes(StandardCharsets.UTF_8)));
        mState = State.ENDED;
        write();
    }

    private void enqueue(ByteBuffer bytes) {
        if (bytes.hasRemaining()) {
            mQueue.add(bytes);
            mBuffered.addAndGet(bytes.remaining());
            mOwner.buffered(bytes.remaining());
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
                                    failure -> mInvoker.run(() -> callerGone(failure))));
        } else if (mState == State.ENDED) {
            mState = State.CLOSED;
            mOwner.ended(mId);
            mDestination.response().write(true, ByteBuffer.allocate(0), mDestination.end());
        }
    }

    private void written(long bytes) {
        mIsWriting = false;
        mBuffered.addAndGet(-bytes);
        mOwner.buffered(-bytes);
        mLastTaken = mOwner.now();
        write();
        pump();
        resumeOnceDrained();
    }

    private void callerGone(Throwable failure) {
        mState = State.CLOSED;
        mOwner.ended(mId);
        mOwner.buffered(-mBuffered.getAndSet(0));
        mQueue.clear();
        Content.Source source = mSource;
        mSource = null;
        if (source != null) {
            source.fail(failure);
        }
        mOwner.count("caller_gone");
        mDestination.end().failed(failure);
    }
}
