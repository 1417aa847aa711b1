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
final class CallerReply {
    private final DirectServices mServices;
    private final DirectRequest mRequest;
    private final org.eclipse.jetty.server.Response mResponse;
    private final Callback mCallback;
    private final Duration mArrivedAt;
    private final StringBuilder mTrace = new StringBuilder();
    private final Set<Object> mConnections = new HashSet<>();
    private @Nullable CallerWatch mWatch;
    private Duration mQueued = Duration.ZERO;
    private String mAnsweredBy = "";
    private volatile boolean mIsDone;

    CallerReply(
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
    void watch(Request callerRequest, Runnable onGone) {
        mWatch = CallerWatch.begin(callerRequest, onGone);
    }

    org.eclipse.jetty.server.Response response() {
        return mResponse;
    }

    boolean isDone() {
        return mIsDone;
    }

    /** Notes how long the request waited for its first place. */
    void queued(Duration time) {
        mQueued = time;
    }

    /** Notes what became of a sending. */
    void trace(Sending sending, String what) {
        mTrace.append(sending.place().endpoint().id())
                .append("(load ")
                .append(sending.place().load())
                .append(")=")
                .append(what)
                .append('@')
                .append(mServices.clock().now().minus(sending.sentAt()).toMillis())
                .append("ms/")
                .append(connectionOf(sending))
                .append(' ');
    }

    /** Tells whether a sending's connection was new, kept, or one that had carried the request. */
    private String connectionOf(Sending sending) {
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
    void passOn(Sending sending, Response answer, byte[] body) {
        takeHead(sending, answer);
        end("answered", answer.getStatus());
        mResponse.write(true, ByteBuffer.wrap(body), mCallback);
    }

    /** Takes the head of an endpoint's answer, of which something is about to be written. */
    void takeHead(Sending sending, Response answer) {
        mAnsweredBy = sending.place().endpoint().id();
        HttpForwarder.copyHead(answer, mResponse);
    }

    /** Ends a stream that was passed on whole; returns what its last write completes. */
    Callback endStream() {
        end("answered", mResponse.getStatus());
        return mCallback;
    }

    void refuse(Refusal refusal) {
        end(refusal.code(), refusal.status());
        refusal.write(mResponse, mServices.dialect().retryAfter(refusal.retryAfter()), mCallback);
    }

    /** Ends an answer that has begun and can't go on, so that it doesn't look whole. */
    void cutOff(String why) {
        end(why, mResponse.getStatus());
        mCallback.failed(new IOException(why));
    }

    /** Ends the exchange without an answer, since nobody reads it. */
    void gone() {
        end("caller_gone", 0);
        mCallback.failed(new IOException("the caller has gone"));
    }

    private void end(String outcome, int status) {
        mIsDone = true;
        if (mWatch != null) {
            mWatch.end();
        }
        mServices
                .log()
                .ended(
                        new RequestLog.Line(
                                mRequest.caller().id(),
                                mRequest.route().name(),
                                mRequest.organisation().map(Organisation::name).orElse(""),
                                mRequest.decidedBy().tableNumber(),
                                mRequest.decidedBy().stateIndex(),
                                status,
                                outcome,
                                mAnsweredBy,
                                mTrace.toString().trim(),
                                mQueued,
                                mServices.clock().now().minus(mArrivedAt)));
    }
}
