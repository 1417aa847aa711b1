package org.sequoiahill.daemon.request.direct;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.SerializedInvoker;

/**
 * Writes events to a caller, one write at a time; what comes meanwhile is joined into the next
 * write. All methods run in the exchange's invoker.
 */
final class EventWriter {
    private final Response mResponse;
    private final SerializedInvoker mInvoker;
    private final Listener mListener;
    private final Deque<ByteBuffer> mQueue = new ArrayDeque<>();
    private int mPendingBytes;
    private boolean mIsWriting;
    private boolean mIsEndRequested;

    EventWriter(Response response, SerializedInvoker invoker, Listener listener) {
        mResponse = response;
        mInvoker = invoker;
        mListener = listener;
    }

    /** Hears of progress. */
    interface Listener {
        /** Bytes have been written. */
        void onWritten();

        /** All events and the end are about to be written; {@code end} completes the exchange. */
        Callback onEnding();

        /** The caller can't be written to. */
        void onWriteFailure(Throwable failure);
    }

    /** Returns bytes that wait to be written. */
    int pendingBytes() {
        return mPendingBytes;
    }

    /** Writes events. */
    void write(ByteBuffer events) {
        if (events.hasRemaining()) {
            mQueue.add(events);
            mPendingBytes += events.remaining();
            writeNext();
        }
    }

    /** Ends the answer after what waits. */
    void end() {
        mIsEndRequested = true;
        writeNext();
    }

    private void writeNext() {
        if (mIsWriting) {
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
        ByteBuffer all = ByteBuffer.allocate(mPendingBytes);
        while (!mQueue.isEmpty()) {
            all.put(mQueue.remove());
        }
        return all.flip();
    }
}
