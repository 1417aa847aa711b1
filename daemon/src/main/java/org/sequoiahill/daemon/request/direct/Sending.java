package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.ConnectionUse;
import org.sequoiahill.daemon.request.HttpForwarder;

/** One sending of a request to an endpoint, as the exchange follows it. */
final class Sending implements HttpForwarder.Listener {
    private final Place mPlace;
    private final Duration mSentAt;
    private final Events mEvents;
    private @Nullable Request mRequest;
    private Content.@Nullable Source mSource;
    private volatile @Nullable ConnectionUse mConnection;
    private boolean mHasHead;
    private Duration mHeardAt;

    Sending(Place place, Duration sentAt, Events events) {
        mPlace = place;
        mSentAt = sentAt;
        mHeardAt = sentAt;
        mEvents = events;
    }

    /** Hears what becomes of sendings. */
    interface Events {
        /** The head of an answer has come. */
        void answered(Sending sending, Response answer, Content.Source content);

        /** An answer whose head has come broke off. */
        void broken(Sending sending, Throwable failure);

        /** No answer came. */
        void failed(Sending sending, Throwable failure, boolean isUnsent);
    }

    @Override
    public void onBegin(ConnectionUse connection) {
        mConnection = connection;
    }

    @Override
    public void onResponse(Response answer, Content.Source content) {
        mEvents.answered(this, answer, content);
    }

    @Override
    public void onFailure(Throwable failure, boolean isNotRun) {
        mEvents.failed(this, failure, isNotRun);
    }

    @Override
    public void onResponseFailure(Throwable failure) {
        mEvents.broken(this, failure);
    }

    Place place() {
        return mPlace;
    }

    Duration sentAt() {
        return mSentAt;
    }

    /** Returns when bytes came last, or when the request was sent. */
    Duration heardAt() {
        return mHeardAt;
    }

    /** Returns the connection on which it went, null as long as it has none. */
    @Nullable ConnectionUse connection() {
        return mConnection;
    }

    /** Returns whether no earlier request can have left an answer on the connection. */
    boolean isFirstOnItsConnection() {
        ConnectionUse use = mConnection;
        return use != null && use.isNew();
    }

    boolean hasHead() {
        return mHasHead;
    }

    void begun(Request request) {
        mRequest = request;
    }

    void headCame(Content.Source source, Duration now) {
        mHasHead = true;
        mSource = source;
        mHeardAt = now;
    }

    void heard(Duration now) {
        mHeardAt = now;
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
