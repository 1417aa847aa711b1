package org.sequoiahill.daemon.request.direct;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.SerializedInvoker;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.BodyReader;
import org.sequoiahill.daemon.connection.ConnectionKind;
import org.sequoiahill.daemon.process.fleet.Organisation;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.Refusal;
import org.sequoiahill.daemon.request.direct.EndpointPermit.Result;
import org.sequoiahill.daemon.request.direct.RequestMetadata.ModelRequest;
import org.sequoiahill.daemon.request.direct.RetryPolicy.Cause;
import org.sequoiahill.daemon.request.direct.RetryPolicy.Decision;

/**
 * One caller's request at an entry, from queueing to the end of its response.
 *
 * <p>All steps run one after another in an invoker, so callbacks from the caller's connection, the
 * endpoint's connection and the dispatcher need no locks.
 */
final class DirectExchange
        implements PendingRequest, EndpointAttempt.Observer, DirectStreamRelay.Exchange {
    /** Maximum size of a response that is buffered until it is complete, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    /** Minimum time until the deadline for another attempt to be worthwhile. */
    private static final Duration MIN_TIME_TO_RETRY = Duration.ofMillis(150);

    /** Margin by which an attempt outlives the exchange, so that the exchange times out first. */
    private static final Duration ATTEMPT_TIMEOUT_MARGIN = Duration.ofMillis(500);

    private static final int MISDIRECTED = 421;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final Set<Integer> STATUSES_IMPLYING_NOT_RUN = Set.of(408, 429, 503);

    private final DirectServices mServices;
    private final DirectRequest mRequest;
    private final Request mCallerRequest;
    private final CallerResponse mResponse;
    private final SerializedInvoker mInvoker = new SerializedInvoker();
    private final DirectStreamRelay mStreamRelay;
    private final Set<String> mTriedEndpoints = new HashSet<>();
    private final Map<HostPort, Integer> mAttemptsByAddress = new HashMap<>();
    private final RequestDeadlines mDeadlines;
    private @Nullable EndpointAttempt mCurrent;
    private Duration mQueueDeadline;
    private OptionalLong mPinnedVersion = OptionalLong.empty();
    private int mAttempts;
    private int mPossibleRuns;

    DirectExchange(
            DirectServices services,
            DirectRequest request,
            Request callerRequest,
            org.eclipse.jetty.server.Response response,
            Callback callback,
            Duration arrivedAt) {
        mServices = services;
        mRequest = request;
        mCallerRequest = callerRequest;
        mResponse = new CallerResponse(services, request, response, callback, arrivedAt);
        mStreamRelay = DirectStreamRelay.of(response, mInvoker, this);
        mDeadlines = RequestDeadlines.of(arrivedAt, request.route(), request.metadata().timeout());
        mQueueDeadline = mDeadlines.queueDeadline(request.route().latencyTarget());
    }

    /** Starts monitoring the caller and queues the request. */
    void start() {
        mInvoker.run(
                () -> {
                    mServices.activeExchanges().add(this);
                    mResponse.detectDisconnect(
                            mCallerRequest, () -> mInvoker.run(this::onCallerDisconnect));
                    mServices.retryBudgets().onRequest(service());
                    mServices.dispatcher().submit(this);
                });
    }

    /** Ends what is overdue: the exchange, or an attempt that is silent or outdated. */
    void checkTimeouts() {
        mInvoker.run(this::endIfOverdue);
    }

    @Override
    public String service() {
        return mRequest.service();
    }

    @Override
    public String model() {
        return mRequest.metadata().modelRequest().map(ModelRequest::model).orElse("");
    }

    @Override
    public OptionalLong version() {
        return mPinnedVersion;
    }

    @Override
    public int priority() {
        return mRequest.priority();
    }

    @Override
    public boolean isLate() {
        return mDeadlines.isLate();
    }

    @Override
    public Duration queueDeadline() {
        return mQueueDeadline;
    }

    @Override
    public int promptTokens() {
        return mRequest.metadata().modelRequest().map(ModelRequest::promptTokens).orElse(0);
    }

    @Override
    public Duration latencyTarget() {
        return mRequest.route().latencyTarget();
    }

    @Override
    public boolean allows(String region) {
        return mRequest.allows(region);
    }

    @Override
    public Set<String> triedEndpoints() {
        return mTriedEndpoints;
    }

    @Override
    public boolean isAbandoned() {
        return mResponse.isComplete();
    }

    @Override
    public void onGranted(EndpointPermit permit) {
        mInvoker.run(() -> send(permit));
    }

    @Override
    public void onRefused(DispatchRefusal refusal) {
        mInvoker.run(() -> handleRefusal(refusal));
    }

    @Override
    public void onResponseHead(EndpointAttempt attempt, Response response, Content.Source content) {
        mInvoker.run(() -> handleHead(attempt, response, content));
    }

    @Override
    public void onNoResponse(EndpointAttempt attempt, Throwable failure, boolean isUnsent) {
        mInvoker.run(
                () -> {
                    Result result = isUnsent ? Result.UNREACHABLE : Result.FAILED;
                    Cause cause = isUnsent ? Cause.UNSENT : Cause.LOST;
                    if (endAttempt(attempt, result, failure.getClass().getSimpleName())) {
                        retryOrFinish(cause, null);
                    }
                });
    }

    @Override
    public void onResponseBroken(EndpointAttempt attempt, Throwable failure) {
        mInvoker.run(
                () -> {
                    if (isCurrent(attempt)) {
                        failAttempt(attempt, "broken_" + failure.getClass().getSimpleName());
                    }
                });
    }

    private void send(EndpointPermit permit) {
        Duration now = mServices.clock().now();
        if (mResponse.isComplete()) {
            permit.release(Result.CANCELLED);
            return;
        }
        if (mAttempts == 0) {
            mResponse.recordQueueTime(now.minus(mDeadlines.arrivedAt()));
        }
        mAttempts++;
        mTriedEndpoints.add(permit.endpoint().id());
        HostPort address = permit.endpoint().address();
        int attemptAtAddress = mAttemptsByAddress.merge(address, 1, Integer::sum);
        EndpointAttempt attempt = new EndpointAttempt(permit, now, this);
        mCurrent = attempt;
        Duration timeLeft = mDeadlines.deadline().minus(now);
        AttemptMetadata metadata =
                new AttemptMetadata(
                        permit.endpoint().id(),
                        mRequest.organisation().map(Organisation::name),
                        timeLeft,
                        mStreamRelay.lastId().or(() -> mRequest.metadata().lastEventId()),
                        permit.version(),
                        OptionalInt.of(priority()));
        HttpForwarder.Call httpCall =
                new HttpForwarder.Call(
                        mRequest.method(),
                        URI.create("http://" + address + mRequest.pathAndQuery()),
                        mServices.headerCodec().endpointHeaders(mRequest.headers(), metadata),
                        mRequest.body(),
                        timeLeft.plus(ATTEMPT_TIMEOUT_MARGIN),
                        Optional.of(mRequest.host()),
                        new ConnectionKind(!mRequest.route().isRetryable(), attemptAtAddress));
        attempt.onStarted(mServices.forwarder().send(httpCall, attempt));
    }

    private void handleRefusal(DispatchRefusal refusal) {
        if (mResponse.isComplete()) {
            return;
        }
        String message = "no endpoint can accept the request now";
        if (mStreamRelay.hasBegun()) {
            abort(refusal.reason());
        } else if (mPossibleRuns > 0) {
            refuse(Refusal.outcomeUnknown("the endpoint sent no response"));
        } else {
            refuse(Refusal.overloaded(refusal.reason(), message, refusal.retryAfter()));
        }
    }

    private void handleHead(EndpointAttempt attempt, Response response, Content.Source content) {
        if (mResponse.isComplete() || attempt != mCurrent) {
            content.fail(new IOException("response of a superseded attempt"));
            return;
        }
        ResponseMetadata metadata =
                mServices.headerCodec().parseResponse(response.getStatus(), response.getHeaders());
        attempt.onHead(content, mServices.clock().now());
        boolean isNotRun = metadata.isNotRun() || metadata.status() == MISDIRECTED;
        boolean isForThisRequest = metadata.requestId().equals(mRequest.metadata().id());
        boolean mayLackId = metadata.requestId().isEmpty() && attempt.isFirstOnConnection();
        if (!isForThisRequest && !(isNotRun && mayLackId)) {
            failAttempt(attempt, "foreign_answer");
            return;
        }
        attempt.permit().onResponse(metadata);
        if (isNotRun) {
            handleNotRun(attempt, metadata, content);
        } else if (!metadata.isSealed()) {
            failAttempt(attempt, "unsealed_" + metadata.status());
        } else if (metadata.isSuccess() && metadata.isStream()) {
            mStreamRelay.relay(attempt, response, content);
        } else if (mStreamRelay.hasBegun()) {
            // The caller has received part of a stream; only further events can follow.
            failAttempt(attempt, "no_stream_" + metadata.status());
        } else {
            BodyReader.read(content, MAX_RESPONSE_BYTES, mServices.bufferedResponseBytes())
                    .whenComplete(
                            (body, failure) ->
                                    mInvoker.run(
                                            () -> handleBody(attempt, response, metadata, body)));
        }
    }

    private void handleNotRun(
            EndpointAttempt attempt, ResponseMetadata metadata, Content.Source content) {
        Content.Source.consumeAll(content, Callback.NOOP);
        boolean isMisdirected =
                metadata.status() == MISDIRECTED
                        && !metadata.endpointId()
                                .equals(Optional.of(attempt.permit().endpoint().id()));
        Result result = isMisdirected ? Result.MISDIRECTED : Result.REJECTED;
        if (endAttempt(attempt, result, "not_run_" + metadata.status())) {
            retryOrFinish(Cause.NOT_RUN, null);
        }
    }

    private void handleBody(
            EndpointAttempt attempt,
            Response response,
            ResponseMetadata metadata,
            byte @Nullable [] body) {
        if (body == null) {
            failAttempt(attempt, "cut_" + metadata.status());
            return;
        }
        boolean isFailure = metadata.status() >= FIRST_SERVER_ERROR;
        Result result = isFailure ? Result.FAILED : Result.SUCCEEDED;
        if (!endAttempt(attempt, result, "status_" + metadata.status())) {
            return;
        }
        if (!isFailure) {
            forward(attempt, response, body);
        } else {
            retryOrFinish(Cause.FAILED, () -> forwardFailure(attempt, response, metadata, body));
        }
    }

    @Override
    public boolean isCurrent(EndpointAttempt attempt) {
        return attempt == mCurrent && !mResponse.isComplete();
    }

    @Override
    public void onEvent(EndpointAttempt attempt) {
        attempt.onReceived(mServices.clock().now());
    }

    @Override
    public void onStreamStart(EndpointAttempt attempt, Response head) {
        mResponse.copyHead(attempt, head);
        pinVersion(attempt);
    }

    @Override
    public boolean onStreamEnd(EndpointAttempt attempt, String detail) {
        return endAttempt(attempt, Result.SUCCEEDED, "events_" + detail);
    }

    @Override
    public void onStreamBroken(EndpointAttempt attempt, String detail) {
        failAttempt(attempt, "cut_stream_" + detail);
    }

    @Override
    public Callback onResponseEnding() {
        mServices.activeExchanges().remove(this);
        return mResponse.completeStream();
    }

    private void pinVersion(EndpointAttempt attempt) {
        Long version = attempt.permit().endpoint().versions().get(model());
        if (mPinnedVersion.isEmpty() && version != null) {
            mPinnedVersion = OptionalLong.of(version);
        }
    }

    /** Ends an attempt that brought no usable response and decides how to go on. */
    private void failAttempt(EndpointAttempt attempt, String reason) {
        if (endAttempt(attempt, Result.FAILED, reason)) {
            attempt.cancel(new IOException(reason));
            retryOrFinish(Cause.LOST, null);
        }
    }

    /** Releases the permit of an attempt and ends it; returns whether it was the current one. */
    private boolean endAttempt(EndpointAttempt attempt, Result result, String reason) {
        attempt.permit().release(result);
        if (mResponse.isComplete() || attempt != mCurrent) {
            return false;
        }
        mCurrent = null;
        mStreamRelay.dropPartial();
        mResponse.trace(attempt, reason);
        return true;
    }

    private void retryOrFinish(Cause cause, @Nullable Runnable forwardFailure) {
        if (cause == Cause.LOST || cause == Cause.FAILED) {
            mPossibleRuns++;
        }
        Duration now = mServices.clock().now();
        boolean hasTime = mDeadlines.deadline().minus(now).compareTo(MIN_TIME_TO_RETRY) > 0;
        Decision decision =
                RetryPolicy.decide(cause, mRequest.route(), mAttempts, mPossibleRuns, hasTime);
        if (decision == Decision.REPEAT_IN_BUDGET
                && !mServices.retryBudgets().tryAcquire(service(), cause)) {
            mResponse.trace("no_budget");
            decision = RetryPolicy.decideWithoutRetry(cause, mPossibleRuns);
        }
        if (decision == Decision.REPEAT) {
            mServices.retryBudgets().onUnbudgetedRetry(cause);
        }
        switch (decision) {
            case REPEAT, REPEAT_IN_BUDGET -> {
                mQueueDeadline = mDeadlines.retryQueueDeadline(now);
                mServices.dispatcher().submit(this);
            }
            case PASS_ON -> {
                if (forwardFailure == null || mStreamRelay.hasBegun()) {
                    abort("broken");
                } else {
                    forwardFailure.run();
                }
            }
            case REFUSE, UNKNOWN -> {
                if (mStreamRelay.hasBegun()) {
                    abort("broken");
                } else if (decision == Decision.UNKNOWN) {
                    refuse(Refusal.outcomeUnknown("the endpoint sent no complete response"));
                } else {
                    refuse(
                            Refusal.overloaded(
                                    "not_run",
                                    "no endpoint ran the request",
                                    Duration.ofMillis(MIN_TIME_TO_RETRY.toMillis())));
                }
            }
            default -> throw new IllegalStateException("unknown decision " + decision);
        }
    }

    private void forward(EndpointAttempt attempt, Response response, byte[] body) {
        mServices.activeExchanges().remove(this);
        mResponse.forward(attempt, response, body);
    }

    /** Forwards an error response, unless its status would mean that the request has not run. */
    private void forwardFailure(
            EndpointAttempt attempt, Response response, ResponseMetadata metadata, byte[] body) {
        if (STATUSES_IMPLYING_NOT_RUN.contains(metadata.status())) {
            refuse(Refusal.outcomeUnknown("the endpoint failed with " + metadata.status()));
        } else {
            forward(attempt, response, body);
        }
    }

    private void refuse(Refusal refusal) {
        mServices.activeExchanges().remove(this);
        mResponse.refuse(refusal);
    }

    private void abort(String reason) {
        mServices.activeExchanges().remove(this);
        mResponse.abort(reason);
    }

    @Override
    public void onCallerDisconnect() {
        if (mResponse.isComplete()) {
            return;
        }
        cancelCurrentAttempt("caller_gone");
        mServices.activeExchanges().remove(this);
        mResponse.callerDisconnected();
    }

    private void endIfOverdue() {
        if (mResponse.isComplete()) {
            return;
        }
        Duration now = mServices.clock().now();
        if (now.compareTo(mDeadlines.deadline()) >= 0) {
            handleTimeout();
            return;
        }
        EndpointAttempt attempt = mCurrent;
        if (attempt == null) {
            return;
        }
        if (isSilent(attempt, now)) {
            failAttempt(attempt, "silent");
        } else if (!attempt.hasHead()
                && mServices.dispatcher().isOutdated(this, attempt.permit().endpoint())) {
            failAttempt(attempt, "outdated");
        }
    }

    private boolean isSilent(EndpointAttempt attempt, Duration now) {
        return !mStreamRelay.isPaused()
                && SilencePolicy.shouldRetryElsewhere(
                        mRequest.route(),
                        mPossibleRuns,
                        attempt.lastReceivedAt(),
                        mDeadlines.deadline(),
                        now);
    }

    private void handleTimeout() {
        boolean mayHaveRun = mPossibleRuns > 0 || mCurrent != null;
        cancelCurrentAttempt("timeout");
        if (mStreamRelay.hasBegun()) {
            abort("timeout");
        } else if (mayHaveRun) {
            refuse(new Refusal(504, "timeout", "no response in time", false, Duration.ZERO));
        } else {
            refuse(Refusal.overloaded("timeout", "no capacity in time", Duration.ZERO));
        }
    }

    private void cancelCurrentAttempt(String reason) {
        EndpointAttempt attempt = mCurrent;
        if (attempt != null) {
            mCurrent = null;
            mResponse.trace(attempt, reason);
            attempt.permit().release(Result.CANCELLED);
            attempt.cancel(new IOException(reason));
        }
    }
}
