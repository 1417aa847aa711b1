package org.sequoiahill.daemon.request.direct;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.ConnectionUse;
import org.sequoiahill.daemon.connection.HeldBytes;
import org.sequoiahill.daemon.process.fleet.Organisation;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.Refusal;

/**
 * Sends at most one response to the caller of an exchange.
 *
 * <p>Before the response ends, monitoring of the caller's connection stops and the request log
 * entry is written. All methods run in the exchange's invoker.
 */
final class CallerResponse {
    private static final String ANSWERED = "answered";

    /** Queue time of a request that has not been sent. */
    private static final Duration NOT_SENT = Duration.ofNanos(-1);

    private final DirectServices mServices;
    private final DirectRequest mRequest;
    private final List<String> mTraits;
    private final org.eclipse.jetty.server.Response mResponse;
    private final Callback mCallback;
    private final HeldBytes mHeld;
    private final Duration mArrivedAt;
    private final Runnable mOnEnd;
    private final StringBuilder mTrace = new StringBuilder();
    private final Set<Object> mConnections = new HashSet<>();
    private @Nullable DisconnectDetector mDisconnectDetector;
    private Duration mQueueTime = NOT_SENT;
    private String mAnsweredBy = "";
    private int mAttempts;
    private boolean mHasBegun;
    private volatile boolean mIsComplete;

    /**
     * Creates a response that has not begun.
     *
     * @param onEnd called before the response ends
     */
    CallerResponse(
            DirectServices services,
            DirectRequest request,
            List<String> traits,
            org.eclipse.jetty.server.Response response,
            Callback callback,
            Duration arrivedAt,
            Runnable onEnd) {
        mServices = services;
        mRequest = request;
        mTraits = traits;
        mResponse = response;
        mHeld = services.memory().holdResponse();
        mCallback = Callback.from(mHeld::release, callback);
        mArrivedAt = arrivedAt;
        mOnEnd = onEnd;
    }

    /** Starts monitoring whether the caller closes its connection. */
    void detectDisconnect(Request callerRequest, Runnable onDisconnect) {
        mDisconnectDetector = DisconnectDetector.start(callerRequest, onDisconnect);
    }

    /**
     * Reads the body of an attempt's response, in memory that is held until the caller's response
     * ends.
     *
     * @param onEnd called with the body, or with the cause if it is too large or broken
     */
    ResponseBodyReader readBody(
            Response head,
            Content.Source content,
            ExchangeInvoker invoker,
            BiConsumer<@Nullable ByteBuffer, @Nullable Throwable> onEnd) {
        return ResponseBodyReader.read(head, content, mServices.memory(), mHeld, invoker, onEnd);
    }

    org.eclipse.jetty.server.Response response() {
        return mResponse;
    }

    boolean isComplete() {
        return mIsComplete;
    }

    /** Records when an attempt starts; the first one ends the time in the queue. */
    void recordAttempt(Duration now) {
        if (mQueueTime.isNegative()) {
            mQueueTime = now.minus(mArrivedAt);
        }
    }

    /** Records the result of an attempt for the request log. */
    void trace(EndpointAttempt attempt, String result) {
        mAttempts++;
        mTrace.append(attempt.permit().endpoint().id())
                .append("(load ")
                .append(attempt.permit().load())
                .append(")=")
                .append(result)
                .append('@')
                .append(mServices.clock().now().minus(attempt.sentAt()).toMillis())
                .append("ms/")
                .append(describeConnection(attempt))
                .append(' ');
    }

    /**
     * Returns a short text that says whether an attempt used a new connection, a reused one, one
     * that an earlier attempt of this request had used, or none.
     */
    private String describeConnection(EndpointAttempt attempt) {
        ConnectionUse use = attempt.connection();
        if (use == null) {
            return "none";
        }
        if (!mConnections.add(use.connection())) {
            return "same";
        }
        return use.isNew() ? "new" : "kept";
    }

    /** Records a decision for the request log. */
    void trace(String decision) {
        mTrace.append(decision).append(' ');
    }

    /** Responds with an endpoint's complete response. */
    void forward(EndpointAttempt attempt, Response response, ByteBuffer body) {
        copyHead(attempt, response);
        complete(ANSWERED, response.getStatus());
        mResponse.write(true, body, mCallback);
    }

    /**
     * Copies the status and headers of an endpoint's response, whose body is about to be written,
     * and records the endpoint for the request log.
     */
    void copyHead(EndpointAttempt attempt, Response response) {
        mHasBegun = true;
        mAnsweredBy = attempt.permit().endpoint().id();
        HttpForwarder.copyHead(response, mResponse);
    }

    /** Forwards an error response, unless its status would mean that the request has not run. */
    void forwardFailure(
            EndpointAttempt attempt,
            Response response,
            ResponseMetadata metadata,
            ByteBuffer body) {
        if (metadata.impliesNotRun()) {
            refuse(Refusal.outcomeUnknown("the endpoint failed with " + metadata.status()));
        } else {
            forward(attempt, response, body);
        }
    }

    /** Completes the exchange after a complete stream; returns the callback for the last write. */
    Callback completeStream() {
        complete(ANSWERED, mResponse.getStatus());
        return mCallback;
    }

    void refuse(Refusal refusal) {
        complete(refusal.code(), refusal.status());
        refusal.write(
                mResponse,
                mServices.headerCodec().formatRetryAfter(refusal.retryAfter()),
                mCallback);
    }

    /** Refuses a request that can't be served, or aborts its stream if that has begun. */
    void refuseOrAbort(Refusal refusal, String abortReason) {
        if (mHasBegun) {
            abort(abortReason);
        } else {
            refuse(refusal);
        }
    }

    /**
     * Aborts a response that has begun and can't be completed, so that the caller can tell that it
     * is truncated.
     */
    void abort(String reason) {
        complete(reason, mResponse.getStatus());
        mCallback.failed(new IOException(reason));
    }

    /**
     * Ends the exchange without a response because the caller has disconnected. The connection is
     * closed first, as Jetty would respond with 500 otherwise, which a caller that has ended only
     * its sending side would read.
     */
    void callerDisconnected() {
        complete("caller_gone", 0);
        if (mDisconnectDetector != null) {
            mDisconnectDetector.closeConnection();
        }
        mCallback.failed(new IOException("caller closed its connection"));
    }

    private void complete(String outcome, int status) {
        boolean isFirstAttemptAnswered = mAttempts == 1 && outcome.equals(ANSWERED);
        mIsComplete = true;
        mOnEnd.run();
        if (mDisconnectDetector != null) {
            mDisconnectDetector.stop();
        }
        mServices
                .requestLog()
                .requestCompleted(
                        new RequestLog.Entry(
                                mRequest.metadata().id(),
                                mRequest.route().name(),
                                mRequest.organisation().map(Organisation::name).orElse(""),
                                mRequest.routingVersions().tableNumber(),
                                mRequest.routingVersions().stateIndex(),
                                status,
                                outcome,
                                mAnsweredBy,
                                mTrace.toString().trim(),
                                isFirstAttemptAnswered ? List.of() : mTraits,
                                mQueueTime.isNegative() ? Duration.ZERO : mQueueTime,
                                mServices.clock().now().minus(mArrivedAt)));
    }
}
