package org.sequoiahill.daemon.request.direct;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.ResponseFraming;

/**
 * Forwards an endpoint's event stream to the caller in complete events, and reads no faster than
 * the caller does.
 *
 * <p>A stream that breaks may be resumed by another attempt; the caller then receives the events of
 * both as one response. All methods run in the exchange's invoker.
 */
final class DirectStreamRelay implements EventWriter.Listener {
    /** Unwritten bytes above which a slow caller stops the reading of the endpoint's stream. */
    private static final int MAX_PENDING_BYTES = 256 << 10;

    /** Bytes of an incomplete event above which a stream is treated as broken. */
    private static final int MAX_EVENT_BYTES = 256 << 10;

    private final ExchangeInvoker mInvoker;
    private final Exchange mExchange;
    private final EventWriter mWriter;
    private final EventSplitter mSplitter = new EventSplitter();
    private @Nullable Runnable mResume;
    private boolean mHasBegun;

    private DirectStreamRelay(
            org.eclipse.jetty.server.Response response,
            ExchangeInvoker invoker,
            Exchange exchange) {
        mInvoker = invoker;
        mExchange = exchange;
        mWriter = new EventWriter(response, invoker, this);
    }

    /** Returns the relay of one exchange. */
    static DirectStreamRelay of(
            org.eclipse.jetty.server.Response response,
            ExchangeInvoker invoker,
            Exchange exchange) {
        return new DirectStreamRelay(response, invoker, exchange);
    }

    /** The exchange to which the stream belongs. */
    interface Exchange {
        /** Returns whether an attempt is the current one, so that its bytes are still needed. */
        boolean isCurrent(EndpointAttempt attempt);

        /** Called when an attempt's stream has delivered complete events with data. */
        void onEvents(EndpointAttempt attempt, int count);

        /**
         * Called before the first bytes are written to the caller, with the headers of this
         * attempt's response.
         */
        void onStreamStart(EndpointAttempt attempt, Response head);

        /**
         * Called when an attempt's stream has ended completely; returns whether the caller's
         * response may end too.
         *
         * @param detail number of complete events of all attempts so far, framing of the response
         *     and size of an incomplete event, for the request log
         */
        boolean onStreamEnd(EndpointAttempt attempt, String detail);

        /**
         * Called when an attempt's stream has broken.
         *
         * @param failure cause
         * @param detail number of complete events of all attempts so far, framing of the response
         *     and cause, for the request log
         */
        void onStreamBroken(EndpointAttempt attempt, Throwable failure, String detail);

        /** Called before the last write; returns the callback that the last write completes. */
        Callback onResponseEnding();

        /** Called when a write to the caller fails. */
        void onCallerDisconnect();
    }

    /** Returns whether the caller has been sent any part of the stream. */
    boolean hasBegun() {
        return mHasBegun;
    }

    /** Returns whether reading is paused until the caller has received more. */
    boolean isPaused() {
        return mResume != null;
    }

    /** Returns the id of the last complete event that has one. */
    Optional<String> lastId() {
        return mSplitter.lastId();
    }

    /** Discards what has not been written, as the response has ended. */
    void stop() {
        mWriter.stop();
    }

    /** Discards the buffered part of an incomplete event. */
    void dropPartial() {
        mSplitter.takePartial();
    }

    /**
     * Reads the available part of a stream and forwards complete events.
     *
     * @param head status and headers of the endpoint's response; the caller receives those of the
     *     first attempt that delivers an event or ends its stream
     */
    void relay(EndpointAttempt attempt, Response head, Content.Source content) {
        while (mExchange.isCurrent(attempt)) {
            if (mWriter.pendingBytes() > MAX_PENDING_BYTES) {
                mResume = () -> relay(attempt, head, content);
                return;
            }
            Content.Chunk chunk = content.read();
            if (chunk == null) {
                content.demand(() -> mInvoker.run(() -> relay(attempt, head, content)));
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                Throwable failure = chunk.getFailure();
                String cause = failure.getClass().getSimpleName();
                mExchange.onStreamBroken(attempt, failure, describe(head, cause));
                return;
            }
            int eventsBefore = mSplitter.dataEvents();
            forward(attempt, head, mSplitter.feed(chunk.getByteBuffer()));
            int events = mSplitter.dataEvents() - eventsBefore;
            if (events > 0) {
                // A hung endpoint may still send comments and parts of an event; they don't count.
                mExchange.onEvents(attempt, events);
            }
            boolean isLast = chunk.isLast();
            chunk.release();
            if (mSplitter.partialBytes() > MAX_EVENT_BYTES) {
                mExchange.onStreamBroken(
                        attempt,
                        new IOException("an event is too large"),
                        describe(head, "event_too_large"));
                return;
            }
            if (isLast) {
                endStream(attempt, head);
            }
        }
    }

    private void forward(EndpointAttempt attempt, Response head, ByteBuffer events) {
        if (events.hasRemaining()) {
            beginResponse(attempt, head);
            mWriter.write(events);
        }
    }

    private void beginResponse(EndpointAttempt attempt, Response head) {
        if (!mHasBegun) {
            mHasBegun = true;
            mExchange.onStreamStart(attempt, head);
        }
    }

    private void endStream(EndpointAttempt attempt, Response head) {
        // Bytes after the last event belong to the response; onStreamEnd() would discard them.
        ByteBuffer partial = mSplitter.takePartial();
        String detail = describe(head, "partial_" + partial.remaining());
        if (mExchange.onStreamEnd(attempt, detail)) {
            beginResponse(attempt, head);
            forward(attempt, head, partial);
            mWriter.end();
        }
    }

    private String describe(Response head, String cause) {
        return mSplitter.events() + "(" + ResponseFraming.of(head).label() + "," + cause + ")";
    }

    @Override
    public void onWritten() {
        Runnable resume = mResume;
        if (resume != null && mWriter.pendingBytes() <= MAX_PENDING_BYTES) {
            mResume = null;
            resume.run();
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
