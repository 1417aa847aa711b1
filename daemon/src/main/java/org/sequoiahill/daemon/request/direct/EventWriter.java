package org.sequoiahill.daemon.request.direct;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes events to a caller, one write at a time; events that arrive during a write are combined
 * into the next one. All methods run in the exchange's invoker.
 */
final class EventWriter {
    private final Response mResponse;
    private final ExchangeInvoker mInvoker;
    private final Listener mListener;
    private final Deque<ByteBuffer> mQueue = new ArrayDeque<>();
    private int mPendingBytes;
    private boolean mIsWriting;
    private boolean mIsEndRequested;
    private boolean mIsStopped;

    EventWriter(Response response, ExchangeInvoker invoker, Listener listener) {
        mResponse = response;
        mInvoker = invoker;
        mListener = listener;
    }

    /** Receives notifications of progress. */
    interface Listener {
        /** Called after bytes have been written. */
        void onWritten();

        /** Called before the last write; returns the callback that the last write completes. */
        Callback onEnding();

        /** Called when a write to the caller fails. */
        void onWriteFailure(Throwable failure);
    }

    /** Returns the number of bytes that are queued or being written. */
    int pendingBytes() {
        return mPendingBytes;
    }

    /** Queues complete events for writing. */
    void write(ByteBuffer events) {
        if (events.hasRemaining()) {
            mQueue.add(events);
            mPendingBytes += events.remaining();
            writeNext();
        }
    }

    /** Ends the response after all queued events have been written. */
    void end() {
        mIsEndRequested = true;
        writeNext();
    }

    /** Writes nothing more. */
    void stop() {
        mIsStopped = true;
    }

    private void writeNext() {
        if (mIsWriting || mIsStopped) {
            return;
        }
        if (mQueue.isEmpty()) {
            if (mIsEndRequested) {
                mIsWriting = true;
                mResponse.write(true, ByteBuffer.allocate(0), mListener.onEnding());
            }
            return;
        }
        mIsWriting = true;
        ByteBuffer next = mergeQueue();
        int bytes = next.remaining();
        mResponse.write(
                false,
                next,
                Callback.from(
                        () -> mInvoker.run(() -> onWritten(bytes)),
                        failure -> mInvoker.run(() -> mListener.onWriteFailure(failure))));
    }

    private void onWritten(int bytes) {
        mIsWriting = false;
        mPendingBytes -= bytes;
        writeNext();
        mListener.onWritten();
    }

    private ByteBuffer mergeQueue() {
        if (mQueue.size() == 1) {
            return mQueue.remove();
        }
        ByteBuffer merged = ByteBuffer.allocate(mPendingBytes);
        while (!mQueue.isEmpty()) {
            merged.put(mQueue.remove());
        }
        return merged.flip();
    }
}
