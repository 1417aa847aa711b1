package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.ConnectionUse;
import org.sequoiahill.daemon.request.HttpForwarder;

/** One sending of a request to an endpoint, as the exchange follows it. */
final class EndpointAttempt implements HttpForwarder.Listener {
    private final EndpointPermit mPermit;
    private final Duration mSentAt;
    private final Observer mObserver;
    private @Nullable Request mRequest;
    private Content.@Nullable Source mSource;
    private volatile @Nullable ConnectionUse mConnection;
    private boolean mHasHead;
    private Duration mLastReceivedAt;

    EndpointAttempt(EndpointPermit place, Duration sentAt, Observer events) {
        mPermit = place;
        mSentAt = sentAt;
        mLastReceivedAt = sentAt;
        mObserver = events;
    }

    /** Hears what becomes of sendings. */
    interface Observer {
        /** The head of an answer has come. */
        void onResponseHead(EndpointAttempt sending, Response answer, Content.Source content);

        /** An answer whose head has come broke off. */
        void onResponseBroken(EndpointAttempt sending, Throwable failure);

        /** No answer came. */
        void onNoResponse(EndpointAttempt sending, Throwable failure, boolean isUnsent);
    }

    @Override
    public void onBegin(ConnectionUse connection) {
        mConnection = connection;
    }

    @Override
    public void onResponse(Response answer, Content.Source content) {
        mObserver.onResponseHead(this, answer, content);
    }

    @Override
    public void onFailure(Throwable failure, boolean isNotRun) {
        mObserver.onNoResponse(this, failure, isNotRun);
    }

    @Override
    public void onResponseFailure(Throwable failure) {
        mObserver.onResponseBroken(this, failure);
    }

    EndpointPermit permit() {
        return mPermit;
    }

    Duration sentAt() {
        return mSentAt;
    }

    /** Returns when bytes came last, or when the request was sent. */
    Duration lastReceivedAt() {
        return mLastReceivedAt;
    }

    /** Returns the connection on which it went, null as long as it has none. */
    @Nullable ConnectionUse connection() {
        return mConnection;
    }

    /** Returns whether no earlier request can have left an answer on the connection. */
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

    void onHead(Content.Source source, Duration now) {
        mHasHead = true;
        mSource = source;
        mLastReceivedAt = now;
    }

    void onReceived(Duration now) {
        mLastReceivedAt = now;
    }

    /** Ends the sending; the endpoint sees its connection close. */
    void cancel(Throwable cause) {
        if (mSource != null) {
            mSource.fail(cause);
        }
        if (mRequest != null) {
            mRequest.abort(cause);
        }
    }
}
