package org.sequoiahill.daemon.request.direct;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.SerializedInvoker;
import org.jspecify.annotations.Nullable;

/**
 * Passes an endpoint's stream on to the caller in whole events, and reads no faster than the caller
 * takes them.
 *
 * <p>A stream that breaks off may go on with another sending; the caller then gets the events of
 * both as one answer. All methods run in the exchange's invoker.
 */
final class DirectStreamRelay implements EventWriter.Listener {
    /** Bytes that a slow caller leaves unread before the endpoint's stream is read no further. */
    private static final int MAX_PENDING_BYTES = 256 << 10;

    /** Largest event in bytes; what goes on without an end is no stream of events. */
    private static final int MAX_EVENT_BYTES = 256 << 10;

    private final SerializedInvoker mInvoker;
    private final Exchange mExchange;
    private final EventWriter mWriter;
    private final EventSplitter mSplitter = new EventSplitter();
    private @Nullable Runnable mResume;
    private boolean mHasBegun;

    private DirectStreamRelay(
            org.eclipse.jetty.server.Response response,
            SerializedInvoker invoker,
            Exchange exchange) {
        mInvoker = invoker;
        mExchange = exchange;
        mWriter = new EventWriter(response, invoker, this);
    }

    /** Returns the relay of one exchange. */
    static DirectStreamRelay of(
            org.eclipse.jetty.server.Response response,
            SerializedInvoker invoker,
            Exchange exchange) {
        return new DirectStreamRelay(response, invoker, exchange);
    }

    /** The exchange that a stream is part of. */
    interface Exchange {
        /** Returns whether the bytes of a sending are still wanted. */
        boolean isCurrent(EndpointAttempt sending);

        /** An event of a sending's stream has come whole. */
        void onEvent(EndpointAttempt sending);

        /** The first bytes for the caller are about to be written, under this sending's head. */
        void onStreamStart(EndpointAttempt sending, Response head);

        /** A sending's stream has ended whole; returns whether the caller's answer may end too. */
        boolean onStreamEnd(EndpointAttempt sending, int events);

        /** A sending's stream has broken off. */
        void onStreamBroken(EndpointAttempt sending, int events);

        /** All events are about to be written; returns what to complete once they are. */
        Callback onResponseEnding();

        /** The caller can't be written to. */
        void onCallerDisconnect();
    }

    /** Returns whether the caller has got anything of the stream. */
    boolean hasBegun() {
        return mHasBegun;
    }

    /** Returns whether reading waits for the caller. */
    boolean isPaused() {
        return mResume != null;
    }

    /** Returns the id of the last whole event. */
    Optional<String> lastId() {
        return mSplitter.lastId();
    }

    /** Forgets what has come of an event that is not whole. */
    void dropPartial() {
        mSplitter.takePartial();
    }

    /**
     * Reads what has come of a stream, and passes whole events on.
     *
     * @param head head of the endpoint's answer; the caller gets that of the first sending of which
     *     it gets an event
     */
    void relay(EndpointAttempt sending, Response head, Content.Source content) {
        while (mExchange.isCurrent(sending)) {
            if (mWriter.pendingBytes() > MAX_PENDING_BYTES) {
                mResume = () -> relay(sending, head, content);
                return;
            }
            Content.Chunk chunk = content.read();
            if (chunk == null) {
                content.demand(() -> mInvoker.run(() -> relay(sending, head, content)));
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                mExchange.onStreamBroken(sending, mSplitter.events());
                return;
            }
            int events = mSplitter.dataEvents();
            forward(sending, head, mSplitter.feed(chunk.getByteBuffer()));
            if (mSplitter.dataEvents() > events) {
                // Comments and parts of an event may drip from an endpoint that stands still.
                mExchange.onEvent(sending);
            }
            boolean isLast = chunk.isLast();
            chunk.release();
            if (mSplitter.partialBytes() > MAX_EVENT_BYTES) {
                mExchange.onStreamBroken(sending, mSplitter.events());
                return;
            }
            if (isLast) {
                endStream(sending, head);
            }
        }
    }

    private void forward(EndpointAttempt sending, Response head, ByteBuffer events) {
        if (events.hasRemaining()) {
            beginResponse(sending, head);
            mWriter.write(events);
        }
    }

    private void beginResponse(EndpointAttempt sending, Response head) {
        if (!mHasBegun) {
            mHasBegun = true;
            mExchange.onStreamStart(sending, head);
        }
    }

    private void endStream(EndpointAttempt sending, Response head) {
        // What follows the last whole event belongs to the answer, and is dropped with the sending.
        ByteBuffer rest = mSplitter.takePartial();
        if (mExchange.onStreamEnd(sending, mSplitter.events())) {
            beginResponse(sending, head);
            forward(sending, head, rest);
            mWriter.end();
        }
    }

    @Override
    public void onWritten() {
        Runnable paused = mResume;
        if (paused != null && mWriter.pendingBytes() <= MAX_PENDING_BYTES) {
            mResume = null;
            paused.run();
        }
    }

    @Override
    public Callback onEnding() {
        return mExchange.onResponseEnding();
    }

    @Override
    public void onWriteFailure(Throwable failure) {
        mExchange.onCallerDisconnect();
    }
}
