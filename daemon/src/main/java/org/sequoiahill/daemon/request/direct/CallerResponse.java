package org.sequoiahill.daemon.request.direct;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.ConnectionUse;
import org.sequoiahill.daemon.process.fleet.Organisation;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.Refusal;

/**
 * The caller's side of one exchange: exactly one answer, after which the log is told and the
 * caller's connection is no longer watched. All methods run in the exchange's invoker.
 */
final class CallerResponse {
    private final DirectServices mServices;
    private final DirectRequest mRequest;
    private final org.eclipse.jetty.server.Response mResponse;
    private final Callback mCallback;
    private final Duration mArrivedAt;
    private final StringBuilder mTrace = new StringBuilder();
    private final Set<Object> mConnections = new HashSet<>();
    private @Nullable DisconnectDetector mDisconnectDetector;
    private Duration mQueueTime = Duration.ZERO;
    private String mAnsweredBy = "";
    private volatile boolean mIsComplete;

    CallerResponse(
            DirectServices services,
            DirectRequest request,
            org.eclipse.jetty.server.Response response,
            Callback callback,
            Duration arrivedAt) {
        mServices = services;
        mRequest = request;
        mResponse = response;
        mCallback = callback;
        mArrivedAt = arrivedAt;
    }

    /** Starts to notice that the caller goes. */
    void detectDisconnect(Request callerRequest, Runnable onGone) {
        mDisconnectDetector = DisconnectDetector.start(callerRequest, onGone);
    }

    org.eclipse.jetty.server.Response response() {
        return mResponse;
    }

    boolean isComplete() {
        return mIsComplete;
    }

    /** Notes how long the request waited for its first place. */
    void recordQueueTime(Duration time) {
        mQueueTime = time;
    }

    /** Notes what became of a sending. */
    void trace(EndpointAttempt sending, String what) {
        mTrace.append(sending.permit().endpoint().id())
                .append("(load ")
                .append(sending.permit().load())
                .append(")=")
                .append(what)
                .append('@')
                .append(mServices.clock().now().minus(sending.sentAt()).toMillis())
                .append("ms/")
                .append(describeConnection(sending))
                .append(' ');
    }

    /** Tells whether a sending's connection was new, kept, or one that had carried the request. */
    private String describeConnection(EndpointAttempt sending) {
        ConnectionUse use = sending.connection();
        if (use == null) {
            return "none";
        }
        if (!mConnections.add(use.connection())) {
            return "same";
        }
        return use.isNew() ? "new" : "kept";
    }

    /** Notes a decision. */
    void trace(String what) {
        mTrace.append(what).append(' ');
    }

    /** Answers with a whole answer of an endpoint. */
    void forward(EndpointAttempt sending, Response answer, byte[] body) {
        copyHead(sending, answer);
        complete("answered", answer.getStatus());
        mResponse.write(true, ByteBuffer.wrap(body), mCallback);
    }

    /** Takes the head of an endpoint's answer, of which something is about to be written. */
    void copyHead(EndpointAttempt sending, Response answer) {
        mAnsweredBy = sending.permit().endpoint().id();
        HttpForwarder.copyHead(answer, mResponse);
    }

    /** Ends a stream that was passed on whole; returns what its last write completes. */
    Callback completeStream() {
        complete("answered", mResponse.getStatus());
        return mCallback;
    }

    void refuse(Refusal refusal) {
        complete(refusal.code(), refusal.status());
        refusal.write(
                mResponse,
                mServices.headerCodec().formatRetryAfter(refusal.retryAfter()),
                mCallback);
    }

    /** Ends an answer that has begun and can't go on, so that it doesn't look whole. */
    void abort(String why) {
        complete(why, mResponse.getStatus());
        mCallback.failed(new IOException(why));
    }

    /** Ends the exchange without an answer, since nobody reads it. */
    void callerDisconnected() {
        complete("caller_gone", 0);
        mCallback.failed(new IOException("the caller has gone"));
    }

    private void complete(String outcome, int status) {
        mIsComplete = true;
        if (mDisconnectDetector != null) {
            mDisconnectDetector.stop();
        }
        mServices
                .requestLog()
                .requestCompleted(
                        new RequestLog.Entry(
                                mRequest.caller().id(),
                                mRequest.route().name(),
                                mRequest.organisation().map(Organisation::name).orElse(""),
                                mRequest.routingVersions().tableNumber(),
                                mRequest.routingVersions().stateIndex(),
                                status,
                                outcome,
                                mAnsweredBy,
                                mTrace.toString().trim(),
                                mQueueTime,
                                mServices.clock().now().minus(mArrivedAt)));
    }
}
