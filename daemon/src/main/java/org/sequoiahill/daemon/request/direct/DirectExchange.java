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

/**
 * One caller's request at an entry, from its place in the queue to the end of its answer.
 *
 * <p>All steps run one after another in an invoker, so that callbacks of the caller's connection,
 * the endpoint's connection and the dispatcher need no lock among each other.
 */
final class DirectExchange
        implements PendingRequest, EndpointAttempt.Observer, DirectStreamRelay.Exchange {
    /** Largest answer that is held until it is whole, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    /** Least time left that makes another sending worth its while. */
    private static final Duration MIN_TIME_TO_RETRY = Duration.ofMillis(150);

    /** Time by which a sending outlives the exchange, so that the exchange ends first. */
    private static final Duration ATTEMPT_TIMEOUT_MARGIN = Duration.ofMillis(500);

    private static final int MISDIRECTED = 421;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final Set<Integer> STATUSES_IMPLYING_NOT_RUN = Set.of(408, 429, 503);

    private final DirectServices mServices;
    private final DirectRequest mRequest;
    private final Request mCallerRequest;
    private final CallerResponse mCallerResponse;
    private final SerializedInvoker mInvoker = new SerializedInvoker();
    private final DirectStreamRelay mStreamRelay;
    private final Set<String> mTriedEndpoints = new HashSet<>();
    private final Map<HostPort, Integer> mAttemptsByAddress = new HashMap<>();
    private final RequestDeadlines mDeadlines;
    private @Nullable EndpointAttempt mCurrentAttempt;
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
        mCallerResponse = new CallerResponse(services, request, response, callback, arrivedAt);
        mStreamRelay = DirectStreamRelay.of(response, mInvoker, this);
        mDeadlines = RequestDeadlines.of(arrivedAt, request.route(), request.caller().timeout());
        mQueueDeadline = mDeadlines.queueDeadline(request.route().latencyTarget());
    }

    /** Starts the exchange. */
    void start() {
        mInvoker.run(
                () -> {
                    mServices.activeExchanges().add(this);
                    mCallerResponse.detectDisconnect(
                            mCallerRequest, () -> mInvoker.run(this::onCallerDisconnect));
                    mServices.retryBudgets().onFirstAttempt(service());
                    mServices.dispatcher().submit(this);
                });
    }

    /** Looks for what is overdue. */
    void checkTimeouts() {
        mInvoker.run(this::endIfOverdue);
    }

    @Override
    public String service() {
        return mRequest.service();
    }

    @Override
    public String model() {
        return mRequest.caller().prompt().map(RequestMetadata.Prompt::model).orElse("");
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
        return mRequest.caller().prompt().map(RequestMetadata.Prompt::promptTokens).orElse(0);
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
        return mCallerResponse.isComplete();
    }

    @Override
    public void onGranted(EndpointPermit place) {
        mInvoker.run(() -> send(place));
    }

    @Override
    public void onRefused(DispatchRefusal refused) {
        mInvoker.run(() -> handleRejection(refused));
    }

    @Override
    public void onResponseHead(EndpointAttempt sending, Response answer, Content.Source content) {
        mInvoker.run(() -> handleResponseHead(sending, answer, content));
    }

    @Override
    public void onNoResponse(EndpointAttempt sending, Throwable failure, boolean isUnsent) {
        mInvoker.run(
                () -> {
                    EndpointPermit.Result end =
                            isUnsent
                                    ? EndpointPermit.Result.UNREACHABLE
                                    : EndpointPermit.Result.FAILED;
                    RetryPolicy.Cause cause =
                            isUnsent ? RetryPolicy.Cause.UNSENT : RetryPolicy.Cause.LOST;
                    if (endAttempt(sending, end, failure.getClass().getSimpleName())) {
                        retryOrFinish(cause, null);
                    }
                });
    }

    @Override
    public void onResponseBroken(EndpointAttempt sending, Throwable failure) {
        mInvoker.run(
                () -> {
                    if (isCurrent(sending)) {
                        failAttempt(sending, "broken_" + failure.getClass().getSimpleName());
                    }
                });
    }

    private void send(EndpointPermit place) {
        Duration now = mServices.clock().now();
        if (mCallerResponse.isComplete()) {
            place.release(EndpointPermit.Result.CANCELLED);
            return;
        }
        if (mAttempts == 0) {
            mCallerResponse.recordQueueTime(now.minus(mDeadlines.arrivedAt()));
        }
        mAttempts++;
        mTriedEndpoints.add(place.endpoint().id());
        HostPort address = place.endpoint().address();
        int sendingThere = mAttemptsByAddress.merge(address, 1, Integer::sum);
        EndpointAttempt sending = new EndpointAttempt(place, now, this);
        mCurrentAttempt = sending;
        Duration timeLeft = mDeadlines.deadline().minus(now);
        AttemptMetadata dispatch =
                new AttemptMetadata(
                        place.endpoint().id(),
                        mRequest.organisation().map(Organisation::name),
                        timeLeft,
                        mStreamRelay.lastId().or(() -> mRequest.caller().lastEventId()),
                        place.version(),
                        OptionalInt.of(priority()));
        HttpForwarder.Call call =
                new HttpForwarder.Call(
                        mRequest.method(),
                        URI.create("http://" + address + mRequest.pathAndQuery()),
                        mServices.headerCodec().endpointHeaders(mRequest.headers(), dispatch),
                        mRequest.body(),
                        timeLeft.plus(ATTEMPT_TIMEOUT_MARGIN),
                        Optional.of(mRequest.host()),
                        new ConnectionKind(!mRequest.route().isRetryable(), sendingThere));
        sending.onStarted(mServices.forwarder().send(call, sending));
    }

    private void handleRejection(DispatchRefusal refused) {
        if (mCallerResponse.isComplete()) {
            return;
        }
        String message = "no endpoint can take the request now";
        if (mStreamRelay.hasBegun()) {
            abort(refused.reason());
        } else if (mPossibleRuns > 0) {
            refuse(Refusal.outcomeUnknown("the endpoint gave no answer"));
        } else {
            refuse(Refusal.overloaded(refused.reason(), message, refused.retryAfter()));
        }
    }

    private void handleResponseHead(
            EndpointAttempt sending, Response response, Content.Source content) {
        if (mCallerResponse.isComplete() || sending != mCurrentAttempt) {
            content.fail(new IOException("the answer is no longer wanted"));
            return;
        }
        ResponseMetadata answer =
                mServices.headerCodec().parseResponse(response.getStatus(), response.getHeaders());
        sending.onHead(content, mServices.clock().now());
        boolean isUnrun = answer.isNotRun() || answer.status() == MISDIRECTED;
        boolean isOurs = answer.requestId().equals(mRequest.caller().id());
        boolean mayLackId = answer.requestId().isEmpty() && sending.isFirstOnConnection();
        if (!isOurs && !(isUnrun && mayLackId)) {
            failAttempt(sending, "foreign_answer");
            return;
        }
        sending.permit().onResponse(answer);
        if (isUnrun) {
            handleNotRun(sending, answer, content);
        } else if (!answer.isSealed()) {
            failAttempt(sending, "unsealed_" + answer.status());
        } else if (answer.isSuccess() && answer.isStream()) {
            mStreamRelay.relay(sending, response, content);
        } else if (mStreamRelay.hasBegun()) {
            // Only more events of the stream can follow what the caller has got of it.
            failAttempt(sending, "no_stream_" + answer.status());
        } else {
            BodyReader.read(content, MAX_RESPONSE_BYTES, mServices.bufferedResponseBytes())
                    .whenComplete(
                            (body, failure) ->
                                    mInvoker.run(
                                            () ->
                                                    handleResponseBody(
                                                            sending, response, answer, body)));
        }
    }

    private void handleNotRun(
            EndpointAttempt sending, ResponseMetadata answer, Content.Source content) {
        Content.Source.consumeAll(content, Callback.NOOP);
        boolean isOther =
                answer.status() == MISDIRECTED
                        && !answer.endpointId()
                                .equals(Optional.of(sending.permit().endpoint().id()));
        EndpointPermit.Result end =
                isOther ? EndpointPermit.Result.MISDIRECTED : EndpointPermit.Result.REJECTED;
        if (endAttempt(sending, end, "not_run_" + answer.status())) {
            retryOrFinish(RetryPolicy.Cause.NOT_RUN, null);
        }
    }

    private void handleResponseBody(
            EndpointAttempt sending,
            Response response,
            ResponseMetadata answer,
            byte @Nullable [] body) {
        if (body == null) {
            failAttempt(sending, "cut_" + answer.status());
            return;
        }
        boolean isFailure = answer.status() >= FIRST_SERVER_ERROR;
        EndpointPermit.Result end =
                isFailure ? EndpointPermit.Result.FAILED : EndpointPermit.Result.SUCCEEDED;
        if (!endAttempt(sending, end, "status_" + answer.status())) {
            return;
        }
        if (!isFailure) {
            forward(sending, response, body);
        } else {
            retryOrFinish(
                    RetryPolicy.Cause.FAILED,
                    () -> forwardFailure(sending, response, answer, body));
        }
    }

    @Override
    public boolean isCurrent(EndpointAttempt sending) {
        return sending == mCurrentAttempt && !mCallerResponse.isComplete();
    }

    @Override
    public void onEvent(EndpointAttempt sending) {
        sending.onReceived(mServices.clock().now());
    }

    @Override
    public void onStreamStart(EndpointAttempt sending, Response head) {
        mCallerResponse.copyHead(sending, head);
        pinVersion(sending);
    }

    @Override
    public boolean onStreamEnd(EndpointAttempt sending, int events) {
        return endAttempt(sending, EndpointPermit.Result.SUCCEEDED, "events_" + events);
    }

    @Override
    public void onStreamBroken(EndpointAttempt sending, int events) {
        failAttempt(sending, "cut_stream_" + events);
    }

    @Override
    public Callback onResponseEnding() {
        mServices.activeExchanges().remove(this);
        return mCallerResponse.completeStream();
    }

    private void pinVersion(EndpointAttempt sending) {
        Long version = sending.permit().endpoint().versions().get(model());
        if (mPinnedVersion.isEmpty() && version != null) {
            mPinnedVersion = OptionalLong.of(version);
        }
    }

    /** Ends a sending that brought no answer of its own. */
    private void failAttempt(EndpointAttempt sending, String why) {
        if (endAttempt(sending, EndpointPermit.Result.FAILED, why)) {
            sending.cancel(new IOException(why));
            retryOrFinish(RetryPolicy.Cause.LOST, null);
        }
    }

    /** Ends a sending for this exchange; returns whether it was the current one. */
    private boolean endAttempt(EndpointAttempt sending, EndpointPermit.Result end, String what) {
        sending.permit().release(end);
        if (mCallerResponse.isComplete() || sending != mCurrentAttempt) {
            return false;
        }
        mCurrentAttempt = null;
        mStreamRelay.dropPartial();
        mCallerResponse.trace(sending, what);
        return true;
    }

    private void retryOrFinish(RetryPolicy.Cause cause, @Nullable Runnable passOn) {
        if (cause == RetryPolicy.Cause.LOST || cause == RetryPolicy.Cause.FAILED) {
            mPossibleRuns++;
        }
        Duration now = mServices.clock().now();
        boolean isTimeLeft = mDeadlines.deadline().minus(now).compareTo(MIN_TIME_TO_RETRY) > 0;
        RetryPolicy.Decision decision =
                RetryPolicy.decide(cause, mRequest.route(), mAttempts, mPossibleRuns, isTimeLeft);
        if (decision == RetryPolicy.Decision.REPEAT_IN_BUDGET
                && !mServices.retryBudgets().tryAcquire(service(), cause)) {
            mCallerResponse.trace("no_budget");
            decision = RetryPolicy.decideWithoutRetry(cause, mPossibleRuns);
        }
        if (decision == RetryPolicy.Decision.REPEAT) {
            mServices.retryBudgets().onUnbudgetedRetry(cause);
        }
        switch (decision) {
            case REPEAT, REPEAT_IN_BUDGET -> {
                mQueueDeadline = mDeadlines.retryQueueDeadline(now);
                mServices.dispatcher().submit(this);
            }
            case PASS_ON -> {
                if (passOn == null || mStreamRelay.hasBegun()) {
                    abort("broken");
                } else {
                    passOn.run();
                }
            }
            case REFUSE, UNKNOWN -> {
                if (mStreamRelay.hasBegun()) {
                    abort("broken");
                } else if (decision == RetryPolicy.Decision.UNKNOWN) {
                    refuse(Refusal.outcomeUnknown("the endpoint gave no whole answer"));
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

    private void forward(EndpointAttempt sending, Response response, byte[] body) {
        mServices.activeExchanges().remove(this);
        mCallerResponse.forward(sending, response, body);
    }

    /** Passes an endpoint's failure on, unless its status would deny that the request ran. */
    private void forwardFailure(
            EndpointAttempt sending, Response response, ResponseMetadata answer, byte[] body) {
        if (STATUSES_IMPLYING_NOT_RUN.contains(answer.status())) {
            refuse(Refusal.outcomeUnknown("the endpoint failed with " + answer.status()));
        } else {
            forward(sending, response, body);
        }
    }

    private void refuse(Refusal refusal) {
        mServices.activeExchanges().remove(this);
        mCallerResponse.refuse(refusal);
    }

    private void abort(String why) {
        mServices.activeExchanges().remove(this);
        mCallerResponse.abort(why);
    }

    @Override
    public void onCallerDisconnect() {
        if (mCallerResponse.isComplete()) {
            return;
        }
        cancelCurrentAttempt("caller_gone");
        mServices.activeExchanges().remove(this);
        mCallerResponse.callerDisconnected();
    }

    private void endIfOverdue() {
        if (mCallerResponse.isComplete()) {
            return;
        }
        Duration now = mServices.clock().now();
        if (now.compareTo(mDeadlines.deadline()) >= 0) {
            handleTimeout();
            return;
        }
        EndpointAttempt sending = mCurrentAttempt;
        if (sending == null) {
            return;
        }
        if (isSilent(sending, now)) {
            failAttempt(sending, "silent");
        } else if (!sending.hasHead()
                && mServices.dispatcher().isOutdated(this, sending.permit().endpoint())) {
            failAttempt(sending, "outdated");
        }
    }

    private boolean isSilent(EndpointAttempt sending, Duration now) {
        return !mStreamRelay.isPaused()
                && SilencePolicy.shouldRetryElsewhere(
                        mRequest.route(),
                        mPossibleRuns,
                        sending.lastReceivedAt(),
                        mDeadlines.deadline(),
                        now);
    }

    private void handleTimeout() {
        boolean mayHaveRun = mPossibleRuns > 0 || mCurrentAttempt != null;
        cancelCurrentAttempt("timeout");
        if (mStreamRelay.hasBegun()) {
            abort("timeout");
        } else if (mayHaveRun) {
            refuse(new Refusal(504, "timeout", "no answer in time", false, Duration.ZERO));
        } else {
            refuse(Refusal.overloaded("timeout", "no place in time", Duration.ZERO));
        }
    }

    private void cancelCurrentAttempt(String why) {
        EndpointAttempt sending = mCurrentAttempt;
        if (sending != null) {
            mCurrentAttempt = null;
            mCallerResponse.trace(sending, why);
            sending.permit().release(EndpointPermit.Result.CANCELLED);
            sending.cancel(new IOException(why));
        }
    }
}
