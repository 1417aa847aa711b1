package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.ConnectionUse;
import org.sequoiahill.daemon.request.HttpForwarder;

/** One attempt of a request at an endpoint. */
final class EndpointAttempt implements HttpForwarder.Listener {
    /** Identifies the attempt where its request must not be kept in memory. */
    private final Object mKey = new Object();

    private final EndpointPermit mPermit;
    private final Duration mSentAt;
    private final Observer mObserver;
    private @Nullable Request mRequest;
    private Content.@Nullable Source mContent;
    private volatile @Nullable ConnectionUse mConnection;
    private @Nullable ResponseBodyReader mBody;
    private boolean mHasHead;
    private int mEvents;
    private Duration mHeadAt = Duration.ZERO;
    private Duration mLastReceivedAt;

    EndpointAttempt(EndpointPermit permit, Duration sentAt, Observer observer) {
        mPermit = permit;
        mSentAt = sentAt;
        mLastReceivedAt = sentAt;
        mObserver = observer;
    }

    /** Receives the events of attempts. */
    interface Observer {
        /** Status and headers of the response have arrived. */
        void onResponseHead(EndpointAttempt attempt, Response response, Content.Source content);

        /** The response failed after its headers. */
        void onResponseBroken(EndpointAttempt attempt, Throwable failure);

        /**
         * No response arrived.
         *
         * @param isUnsent whether nothing was sent
         */
        void onNoResponse(EndpointAttempt attempt, Throwable failure, boolean isUnsent);
    }

    @Override
    public void onBegin(ConnectionUse connection) {
        mConnection = connection;
    }

    @Override
    public void onResponse(Response response, Content.Source content) {
        mObserver.onResponseHead(this, response, content);
    }

    @Override
    public void onFailure(Throwable failure, boolean isNotRun) {
        mObserver.onNoResponse(this, failure, isNotRun);
    }

    @Override
    public void onResponseFailure(Throwable failure) {
        mObserver.onResponseBroken(this, failure);
    }

    Object key() {
        return mKey;
    }

    EndpointPermit permit() {
        return mPermit;
    }

    Duration sentAt() {
        return mSentAt;
    }

    /**
     * Returns when the headers or the last event with data were received, or when the request was
     * sent if neither was.
     */
    Duration lastReceivedAt() {
        return mLastReceivedAt;
    }

    /** Returns the connection in use, null before one is assigned. */
    @Nullable ConnectionUse connection() {
        return mConnection;
    }

    /**
     * Returns whether the connection is new, so that no earlier request can have left a response on
     * it.
     */
    boolean isFirstOnConnection() {
        ConnectionUse use = mConnection;
        return use != null && use.isNew();
    }

    boolean hasHead() {
        return mHasHead;
    }

    void onStarted(Request request) {
        mRequest = request;
    }

    void onHead(Content.Source content, Duration now) {
        mHasHead = true;
        mHeadAt = now;
        mContent = content;
        mLastReceivedAt = now;
    }

    void onEvents(int count, Duration now) {
        mEvents += count;
        mLastReceivedAt = now;
    }

    void onBody(ResponseBodyReader body) {
        mBody = body;
    }

    /**
     * Goes on reading a body for which there was no room, if there is room now; the endpoint does
     * not count as silent in between.
     */
    void resumeBody(Duration now) {
        if (mBody != null && mBody.isPaused()) {
            mLastReceivedAt = now;
            mBody.resume();
        }
    }

    /** Returns the number of events received. */
    int events() {
        return mEvents;
    }

    /** Returns when the headers were received, zero before. */
    Duration headAt() {
        return mHeadAt;
    }

    /** Cancels the attempt; the endpoint sees its connection close. */
    void cancel(Throwable cause) {
        if (mBody != null) {
            mBody.cancel();
        }
        if (mContent != null) {
            mContent.fail(cause);
        }
        if (mRequest != null) {
            mRequest.abort(cause);
        }
    }
}
