package org.sequoiahill.daemon.request.direct;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.request.HttpForwarder;
import org.sequoiahill.daemon.request.Refusal;
import org.sequoiahill.daemon.request.direct.EndpointPermit.Result;
import org.sequoiahill.daemon.request.direct.RetryPolicy.Cause;
import org.sequoiahill.daemon.request.direct.RetryPolicy.Decision;

/**
 * One caller's request at an entry, from queueing to the end of its response.
 *
 * <p>All steps run one after another in an invoker, so callbacks on any thread need no locks.
 */
final class DirectExchange
        implements PendingRequest, EndpointAttempt.Observer, DirectStreamRelay.Exchange {
    /** Minimum time until the deadline for another attempt to be worthwhile. */
    private static final Duration MIN_TIME_TO_RETRY = Duration.ofMillis(150);

    private final DirectServices mServices;
    private final DirectRequest mRequest;
    private final RequestQuarantine mQuarantine;
    private final Request mCallerRequest;
    private final CallerResponse mResponse;
    private final DirectStreamRelay mStreamRelay;
    private final AttemptHistory mHistory = new AttemptHistory();
    private final ExchangeInvoker mInvoker =
            ExchangeInvoker.of(() -> endUnanswered("internal_error", 502, mHistory.wasSent()));
    private final RequestDeadlines mDeadlines;
    private final SilenceRecovery mSilenceRecovery;
    private @Nullable EndpointAttempt mCurrent;
    private Duration mQueueDeadline;
    private volatile boolean mHasStreamEnded;
    private OptionalLong mPinnedVersion = OptionalLong.empty();

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
        mQuarantine = RequestQuarantine.of(services.quarantine(), request);
        mResponse =
                new CallerResponse(
                        services,
                        request,
                        mQuarantine.traits(),
                        response,
                        callback,
                        arrivedAt,
                        this::onResponseEnd);
        mStreamRelay = DirectStreamRelay.of(response, mInvoker, this);
        mDeadlines = RequestDeadlines.of(arrivedAt, request.route(), request.metadata().timeout());
        mQueueDeadline = mDeadlines.queueDeadline(request.route().latencyTarget());
        mSilenceRecovery =
                SilenceRecovery.of(
                        request.route(),
                        mDeadlines.deadline(),
                        mHistory,
                        mStreamRelay,
                        mQuarantine);
    }

    /** Starts monitoring the caller and queues the request. */
    void start() {
        mInvoker.run(
                () -> {
                    DrainDeadline drain = mServices.drainDeadline();
                    Optional<Refusal> refusal =
                            drain.refuse(mRequest.route(), mDeadlines.deadline())
                                    .or(mQuarantine::admit);
                    if (refusal.isPresent()) {
                        mResponse.refuse(refusal.get());
                        return;
                    }
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
        return mRequest.model();
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
        return mRequest.promptTokens();
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
        return mHistory.endpoints();
    }

    @Override
    public boolean isAbandoned() {
        return mResponse.isComplete() || mHasStreamEnded;
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
                    if (!isUnsent) {
                        mQuarantine.onLost(attempt, failure);
                    }
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
                        mQuarantine.onLost(attempt, failure);
                        failAttempt(attempt, "broken_" + failure.getClass().getSimpleName());
                    }
                });
    }

    private void send(EndpointPermit permit) {
        Duration now = mServices.clock().now();
        EndpointAttempt silent = mSilenceRecovery.endQueued() ? mCurrent : null;
        if (isAbandoned()
                || (silent != null ? !endSilentAttempt(silent, now) : refuseIfQuarantined())) {
            permit.release(Result.CANCELLED);
            return;
        }
        EndpointAttempt attempt = new EndpointAttempt(permit, now, this);
        mCurrent = attempt;
        mResponse.recordAttempt(now);
        HttpForwarder.Call httpCall =
                EndpointCalls.of(
                        mServices.headerCodec(),
                        mRequest,
                        permit,
                        mStreamRelay.lastId(),
                        mDeadlines.deadline().minus(now),
                        mHistory.add(permit.endpoint()));
        mHistory.onSent();
        attempt.onStarted(mServices.forwarder().send(httpCall, attempt));
    }

    private void handleRefusal(DispatchRefusal refusal) {
        boolean isSilentAttemptRunning = mSilenceRecovery.endQueued() && mCurrent != null;
        if (isAbandoned() || isSilentAttemptRunning) {
            return;
        }
        String message = "no endpoint can accept the request now";
        mResponse.refuseOrAbort(
                mHistory.mayHaveRun()
                        ? Refusal.outcomeUnknown("the endpoint sent no response")
                        : Refusal.overloaded(refusal.reason(), message, refusal.retryAfter()),
                refusal.reason());
    }

    private void handleHead(EndpointAttempt attempt, Response response, Content.Source content) {
        if (!isCurrent(attempt)) {
            content.fail(new IOException("response of a superseded attempt"));
            return;
        }
        ResponseMetadata metadata =
                mServices.headerCodec().parseResponse(response.getStatus(), response.getHeaders());
        attempt.onHead(content, mServices.clock().now());
        if (!metadata.isFor(mRequest.metadata().id(), attempt.isFirstOnConnection())) {
            failAttempt(attempt, "foreign_answer");
            return;
        }
        attempt.permit().onResponse(metadata);
        if (metadata.isRefusal()) {
            handleNotRun(attempt, metadata, content);
        } else if (!metadata.isSealed()) {
            failAttempt(attempt, "unsealed_" + metadata.status());
        } else if (metadata.isSuccess() && metadata.isStream()) {
            mStreamRelay.relay(attempt, response, content);
        } else if (mStreamRelay.hasBegun()) {
            // The caller has received part of a stream; only further events can follow.
            failAttempt(attempt, "no_stream_" + metadata.status());
        } else {
            attempt.onBody(
                    mResponse.readBody(
                            response,
                            content,
                            mInvoker,
                            (body, cause) -> handleBody(attempt, response, metadata, body, cause)));
        }
    }

    private void handleNotRun(
            EndpointAttempt attempt, ResponseMetadata metadata, Content.Source content) {
        Content.Source.consumeAll(content, Callback.NOOP);
        boolean isMisdirected = metadata.isMisdirected(attempt.permit().endpoint().id());
        Result result = isMisdirected ? Result.MISDIRECTED : Result.REJECTED;
        if (endAttempt(attempt, result, "not_run_" + metadata.status())) {
            retryOrFinish(Cause.NOT_RUN, null);
        }
    }

    private void handleBody(
            EndpointAttempt attempt,
            Response response,
            ResponseMetadata metadata,
            @Nullable ByteBuffer body,
            @Nullable Throwable failure) {
        if (body == null) {
            if (failure != null) {
                mQuarantine.onLost(attempt, failure);
            }
            failAttempt(attempt, "cut_" + metadata.status());
            return;
        }
        boolean isFailure = metadata.isFailure();
        Result result = isFailure ? Result.FAILED : Result.SUCCEEDED;
        if (!endAttempt(attempt, result, "status_" + metadata.status())) {
            return;
        }
        mQuarantine.onAnswered(attempt);
        if (!isFailure) {
            mResponse.forward(attempt, response, body);
        } else {
            retryOrFinish(
                    Cause.FAILED,
                    () -> mResponse.forwardFailure(attempt, response, metadata, body));
        }
    }

    @Override
    public boolean isCurrent(EndpointAttempt attempt) {
        return attempt == mCurrent && !mResponse.isComplete();
    }

    @Override
    public void onEvents(EndpointAttempt attempt, int count) {
        attempt.onEvents(count, mServices.clock().now());
        mQuarantine.onEvents(attempt, count);
    }

    @Override
    public void onStreamStart(EndpointAttempt attempt, Response head) {
        mResponse.copyHead(attempt, head);
        pinVersion(attempt);
    }

    @Override
    public boolean onStreamEnd(EndpointAttempt attempt, String detail) {
        mQuarantine.onAnswered(attempt);
        mHasStreamEnded = endAttempt(attempt, Result.SUCCEEDED, "events_" + detail);
        return mHasStreamEnded;
    }

    @Override
    public void onStreamBroken(EndpointAttempt attempt, Throwable failure, String detail) {
        mQuarantine.onLost(attempt, failure);
        failAttempt(attempt, "cut_stream_" + detail);
    }

    @Override
    public Callback onResponseEnding() {
        return mResponse.completeStream();
    }

    private void onResponseEnd() {
        mServices.activeExchanges().remove(this);
        mStreamRelay.stop();
    }

    private void pinVersion(EndpointAttempt attempt) {
        Long version = attempt.permit().endpoint().versions().get(model());
        if (mPinnedVersion.isEmpty() && version != null) {
            mPinnedVersion = OptionalLong.of(version);
        }
    }

    /** Ends the request if it must not be sent to an endpoint; returns whether it has ended. */
    private boolean refuseIfQuarantined() {
        Optional<Refusal> refusal = mQuarantine.recheck(mHistory.mayHaveRun());
        if (refusal.isEmpty()) {
            return false;
        }
        mResponse.refuseOrAbort(refusal.get(), refusal.get().code());
        return true;
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
        mQuarantine.onEnded(attempt);
        if (mResponse.isComplete() || attempt != mCurrent) {
            return false;
        }
        mCurrent = null;
        mStreamRelay.dropPartial();
        mResponse.trace(attempt, reason);
        return true;
    }

    private void retryOrFinish(Cause cause, @Nullable Runnable forwardFailure) {
        Duration now = mServices.clock().now();
        boolean hasTime = mDeadlines.deadline().minus(now).compareTo(MIN_TIME_TO_RETRY) > 0;
        mHistory.onFailed(cause);
        if (mSilenceRecovery.isQueued()) {
            return;
        }
        Decision decision = mHistory.decide(cause, mRequest.route(), hasTime);
        boolean isRetry = decision == Decision.REPEAT || decision == Decision.REPEAT_IN_BUDGET;
        if (isRetry && refuseIfQuarantined()) {
            return;
        }
        Decision affordable = mHistory.charge(decision, cause, service(), mServices.retryBudgets());
        if (affordable != decision) {
            mResponse.trace("no_budget");
        }
        switch (affordable) {
            case REPEAT, REPEAT_IN_BUDGET -> {
                mQueueDeadline = mDeadlines.retryQueueDeadline(now);
                mServices.dispatcher().submit(this);
            }
            case PASS_ON -> {
                if (forwardFailure == null || mStreamRelay.hasBegun()) {
                    mResponse.abort("broken");
                } else {
                    forwardFailure.run();
                }
            }
            case UNKNOWN ->
                    mResponse.refuseOrAbort(
                            Refusal.outcomeUnknown("the endpoint sent no complete response"),
                            "broken");
            case REFUSE ->
                    mResponse.refuseOrAbort(
                            Refusal.overloaded(
                                    "not_run", "no endpoint ran the request", MIN_TIME_TO_RETRY),
                            "broken");
            default -> throw new IllegalStateException("unknown decision " + affordable);
        }
    }

    @Override
    public void onCallerDisconnect() {
        if (mResponse.isComplete()) {
            return;
        }
        cancelCurrentAttempt("caller_gone");
        mResponse.callerDisconnected();
    }

    private void endIfOverdue() {
        if (mResponse.isComplete()) {
            return;
        }
        Duration now = mServices.clock().now();
        boolean isOverdue = now.compareTo(mDeadlines.deadline()) >= 0;
        if (isOverdue || mServices.activeExchanges().isEnding()) {
            String reason = isOverdue ? "timeout" : "entry_leaving";
            boolean mayHaveRun = mHistory.mayHaveRun() || mCurrent != null;
            endUnanswered(reason, isOverdue ? 504 : 502, mayHaveRun);
            return;
        }
        EndpointAttempt attempt = mCurrent;
        if (attempt == null) {
            return;
        }
        attempt.resumeBody(now);
        mQuarantine.onWaiting(attempt, now);
        if (mSilenceRecovery.shouldSearch(attempt, now)) {
            queueReplacement(now);
        } else if (!attempt.hasHead()
                && mServices.dispatcher().isOutdated(this, attempt.permit().endpoint())) {
            failAttempt(attempt, "outdated");
        }
    }

    /** Queues the request for another endpoint if it may be retried. */
    private void queueReplacement(Duration now) {
        if (mHistory.payRetry(Cause.LOST, service(), mServices.retryBudgets())) {
            mSilenceRecovery.onQueued();
            mQueueDeadline = mDeadlines.retryQueueDeadline(now);
            mServices.dispatcher().submit(this);
        }
    }

    /** Ends an attempt if it is still silent and may be replaced; returns whether it is. */
    private boolean endSilentAttempt(EndpointAttempt attempt, Duration now) {
        boolean isReplaced = mSilenceRecovery.isReplaceable(attempt, now);
        if (isReplaced) {
            endAttempt(attempt, Result.FAILED, "silent");
            attempt.cancel(new IOException("silent"));
            mHistory.onFailed(Cause.LOST);
        }
        return isReplaced;
    }

    /** Ends a request for which no response will come any more. */
    private void endUnanswered(String reason, int statusIfPossiblyRun, boolean mayHaveRun) {
        if (mResponse.isComplete()) {
            return;
        }
        cancelCurrentAttempt(reason);
        Refusal refusal = Refusal.unanswered(reason, mayHaveRun, statusIfPossiblyRun);
        mResponse.refuseOrAbort(refusal, reason);
    }

    private void cancelCurrentAttempt(String reason) {
        EndpointAttempt attempt = mCurrent;
        if (attempt != null) {
            mCurrent = null;
            mResponse.trace(attempt, reason);
            mQuarantine.onCancelled(attempt);
            attempt.permit().release(Result.CANCELLED);
            attempt.cancel(new IOException(reason));
        }
    }
}
