package org.sequoiahill.daemon.request;

import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.connection.ExchangeMonitor;
import org.sequoiahill.daemon.process.directory.Endpoint;
import org.sequoiahill.daemon.request.admission.QueuedRequest;
import org.sequoiahill.daemon.request.retry.RetryDecision;

/** Processes one caller's request from admission to response; its steps never run concurrently. */
final class Exchange implements QueuedRequest {
    /** Maximum random delay before a request that may have run is retried. */
    private static final Duration MAX_JITTER = Duration.ofMillis(50);

    private final EntryServices mServices;
    private final RoutedRequest mRequest;
    private final org.eclipse.jetty.server.Response mResponse;
    private final Callback mCallback;
    private final Duration mDeadline;
    private final Set<String> mTried = new HashSet<>();
    private volatile boolean mIsAbandoned;
    private boolean mMayHaveRun;
    private int mAttempts;
    private int mFailedAttempts;
    private Duration mSentAt = Duration.ZERO;

    Exchange(
            EntryServices services,
            RoutedRequest request,
            org.eclipse.jetty.server.Response response,
            Callback callback) {
        mServices = services;
        mRequest = request;
        mResponse = response;
        mCallback = callback;
        mDeadline = services.clock().now().plus(request.timeout());
    }

    /** Starts the exchange; completes the callback at its end. */
    void start() {
        Optional<Refusal> quarantined = mServices.hooks().quarantine().check(mRequest);
        if (quarantined.isPresent()) {
            onRefused(quarantined.get());
            return;
        }
        mResponse.getRequest().addFailureListener(failure -> mIsAbandoned = true);
        mServices.budget().deposit();
        mServices.admission().submit(this);
    }

    @Override
    public RoutedRequest request() {
        return mRequest;
    }

    @Override
    public Duration deadline() {
        return mDeadline;
    }

    @Override
    public Set<String> triedVms() {
        return mTried;
    }

    @Override
    public int attempts() {
        return mAttempts;
    }

    @Override
    public boolean isAbandoned() {
        return mIsAbandoned;
    }

    @Override
    public void onGranted(Attempt attempt) {
        mAttempts++;
        mServices
                .hooks()
                .runOnce()
                .claim(mRequest, attempt)
                .whenComplete(
                        (decision, failure) -> {
                            if (failure != null) {
                                attempt.target().requestEnded();
                                onRefused(
                                        Refusal.unavailable(
                                                "claim_failed",
                                                "the request could not be claimed"));
                                return;
                            }
                            execute(attempt, decision);
                        });
    }

    @Override
    public void onRefused(Refusal refusal) {
        Refusal adjusted = mMayHaveRun ? refusal.withPossibleExecution() : refusal;
        mServices.metrics().refused(mRequest, adjusted);
        adjusted.write(mResponse, mCallback);
    }

    private void execute(Attempt attempt, RunOnce.Decision decision) {
        if (decision instanceof RunOnce.Decision.Send send) {
            send(attempt, send.headers(), outcome -> settle(attempt, outcome));
            return;
        }
        attempt.target().requestEnded();
        if (decision instanceof RunOnce.Decision.Refuse refuse) {
            onRefused(refuse.refusal());
        } else if (decision instanceof RunOnce.Decision.Replay replay) {
            mResponse.setStatus(replay.status());
            replay.headers().forEach(mResponse.getHeaders()::add);
            mResponse.write(true, replay.body().slice(), mCallback);
        }
    }

    private void settle(Attempt attempt, Outcome outcome) {
        mServices.hooks().quarantine().attemptEnded(mRequest, attempt, outcome);
        mServices
                .hooks()
                .runOnce()
                .settle(mRequest, attempt, outcome)
                .whenComplete(
                        (settled, failure) ->
                                handleOutcome(
                                        attempt,
                                        failure == null ? settled : new Outcome.Unknown(failure)));
    }

    private void handleOutcome(Attempt attempt, Outcome outcome) {
        if (outcome instanceof Outcome.Responded responded) {
            relay(attempt, responded);
            return;
        }
        attempt.target().requestEnded();
        recordFailure(attempt, outcome);
        Duration remaining = mDeadline.minus(mServices.clock().now());
        RetryDecision.State state =
                new RetryDecision.State(
                        mRequest.route().idempotent(), mMayHaveRun, mFailedAttempts, remaining);
        RetryDecision decision = RetryDecision.decide(outcome, state, mServices.budget());
        mMayHaveRun = mMayHaveRun || outcome instanceof Outcome.Unknown;
        mServices.metrics().retryDecided(decision);
        switch (decision) {
            case WAIT_AGAIN -> mServices.admission().requeue(this);
            case RETRY -> retry(attempt, outcome);
            case REFUSE_NOT_RUN ->
                    onRefused(
                            Refusal.unavailable(
                                    codeOf(outcome),
                                    "no endpoint accepted the request within its retry limits"));
            default ->
                    onRefused(
                            Refusal.outcomeUnknown(
                                    "the endpoint failed before its response was complete"));
        }
    }

    private void recordFailure(Attempt attempt, Outcome outcome) {
        if (!(outcome instanceof Outcome.NotRun notRun)) {
            mFailedAttempts++;
            return;
        }
        if (!RetryDecision.isTargetUnavailable(notRun)) {
            mFailedAttempts++;
        }
        if (notRun.code().equals("endpoint_full")
                || (attempt.isRemote() && !notRun.isUnreachable())) {
            mServices.router().markFull(attempt.target());
        } else {
            mServices.router().markUnreachable(attempt);
        }
    }

    private void retry(Attempt attempt, Outcome outcome) {
        attempt.endpoint().map(Endpoint::vm).ifPresent(mTried::add);
        if (outcome instanceof Outcome.NotRun) {
            mServices.admission().requeue(this);
            return;
        }
        long jitter = mServices.random().nextLong(MAX_JITTER.toNanos());
        mServices
                .scheduler()
                .schedule(() -> mServices.admission().requeue(this), jitter, TimeUnit.NANOSECONDS);
    }

    private void relay(Attempt attempt, Outcome.Responded responded) {
        Callback end =
                Callback.from(
                        () -> {
                            responseEnded(attempt);
                            mCallback.succeeded();
                        },
                        failure -> {
                            responseEnded(attempt);
                            mServices
                                    .hooks()
                                    .quarantine()
                                    .responseBroken(mRequest, attempt, failure);
                            mCallback.failed(failure);
                        });
        mServices
                .hooks()
                .relay()
                .relay(
                        mRequest,
                        attempt,
                        responded,
                        new StreamRelay.Destination(mResponse, end),
                        this::resume);
    }

    private void responseEnded(Attempt attempt) {
        attempt.target().requestEnded();
        Duration time = mServices.clock().now().minus(mSentAt);
        mServices.metrics().responseEnded(mRequest, attempt, time);
        mServices.admission().completed(mRequest.service().service(), time);
    }

    private void resume(String digest, HttpFields headers, Consumer<Outcome> outcome) {
        Optional<Attempt> attempt =
                mServices
                        .router()
                        .attemptInThisDataCentre(
                                mRequest,
                                e -> e.announcement().getVersionDigest().equals(digest),
                                mAttempts + 1);
        if (attempt.isEmpty()) {
            outcome.accept(new Outcome.NotRun("no_endpoint", Duration.ZERO));
            return;
        }
        mAttempts++;
        attempt.get().target().requestStarted();
        send(
                attempt.get(),
                headers,
                resumed -> {
                    attempt.get().target().requestEnded();
                    outcome.accept(resumed);
                });
    }

    private void send(Attempt attempt, HttpFields extraHeaders, Consumer<Outcome> outcome) {
        mSentAt = mServices.clock().now();
        Duration remaining = mDeadline.minus(mSentAt);
        long millis = Math.max(1, remaining.toMillis());
        HttpFields.Mutable headers = HttpFields.build(mRequest.headers());
        headers.put(RequestHeaders.DEADLINE, millis);
        headers.put(
                RequestHeaders.PRIORITY,
                mRequest.route().priority().name().toLowerCase(Locale.ROOT));
        headers.remove(RequestHeaders.PREFIX);
        mRequest.prefixHash()
                .ifPresent(hash -> headers.put(RequestHeaders.PREFIX, Long.toHexString(hash)));
        if (!mRequest.isForwarded()) {
            headers.remove(RequestHeaders.ALONE);
        }
        if (mServices.hooks().quarantine().mustRunAlone(mRequest)) {
            headers.put(RequestHeaders.ALONE, "true");
        }
        if (attempt.isRemote()) {
            headers.put(RequestHeaders.HOP, mServices.router().dataCentre());
        }
        extraHeaders.forEach(headers::put);
        headers.put(RequestHeaders.REQUEST_ID, attempt.requestId());
        HttpForwarder.Call call =
                HttpForwarder.Call.of(
                        mRequest.method(),
                        URI.create("http://" + attempt.address() + mRequest.pathQuery()),
                        headers,
                        mRequest.body().slice(),
                        Duration.ofMillis(millis));
        ExchangeMonitor.MonitoredExchange monitored =
                mServices.hooks().monitor().monitor(attempt.requestId(), attempt.address());
        monitored.abortWith(
                mServices.forwarder().send(call, OutcomeListener.of(attempt, monitored, outcome))
                        ::abort);
    }

    private static String codeOf(Outcome outcome) {
        return outcome instanceof Outcome.NotRun notRun ? notRun.code() : "unavailable";
    }
}
