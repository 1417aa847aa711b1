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
import org.sequoiahill.daemon.connection.ExchangeWatch;
import org.sequoiahill.daemon.process.directory.Endpoint;
import org.sequoiahill.daemon.request.admission.Ticket;
import org.sequoiahill.daemon.request.retry.RetryDecision;

/** One caller's request from its admission to its answer; its steps follow one another. */
final class Exchange implements Ticket {
    /** Longest pause before a request that may have run is sent again. */
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
    private int mBroken;
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

    /** Starts the exchange; the callback is completed at its end. */
    void start() {
        Optional<Refusal> quarantined = mServices.hooks().quarantine().check(mRequest);
        if (quarantined.isPresent()) {
            refused(quarantined.get());
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
    public Set<String> tried() {
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
    public void granted(Attempt attempt) {
        mAttempts++;
        mServices
                .hooks()
                .runOnce()
                .claim(mRequest, attempt)
                .whenComplete(
                        (decision, failure) -> {
                            if (failure != null) {
                                attempt.place().requestEnded();
                                refused(Refusal.unavailable("claim_failed", "no claim was made"));
                                return;
                            }
                            follow(attempt, decision);
                        });
    }

    @Override
    public void refused(Refusal refusal) {
        Refusal truthful = mMayHaveRun ? refusal.mayHaveRun() : refusal;
        mServices.metrics().refused(mRequest, truthful);
        truthful.write(mResponse, mCallback);
    }

    private void follow(Attempt attempt, RunOnce.Decision decision) {
        if (decision instanceof RunOnce.Decision.Send send) {
            send(attempt, send.headers(), outcome -> settle(attempt, outcome));
            return;
        }
        attempt.place().requestEnded();
        if (decision instanceof RunOnce.Decision.Refuse refuse) {
            refused(refuse.refusal());
        } else if (decision instanceof RunOnce.Decision.Replay replay) {
            mResponse.setStatus(replay.status());
            replay.headers().forEach(mResponse.getHeaders()::add);
            mResponse.write(true, replay.body().slice(), mCallback);
        }
    }

    private void settle(Attempt attempt, Outcome outcome) {
        mServices.hooks().quarantine().ended(mRequest, attempt, outcome);
        mServices
                .hooks()
                .runOnce()
                .settle(mRequest, attempt, outcome)
                .whenComplete(
                        (settled, failure) ->
                                conclude(
                                        attempt,
                                        failure == null ? settled : new Outcome.Unknown(failure)));
    }

    private void conclude(Attempt attempt, Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered) {
            relay(attempt, answered);
            return;
        }
        attempt.place().requestEnded();
        noteFailure(attempt, outcome);
        Duration remaining = mDeadline.minus(mServices.clock().now());
        RetryDecision.State state =
                new RetryDecision.State(
                        mRequest.route().idempotent(), mMayHaveRun, mBroken, remaining);
        RetryDecision decision = RetryDecision.decide(outcome, state, mServices.budget());
        mMayHaveRun = mMayHaveRun || outcome instanceof Outcome.Unknown;
        mServices.metrics().decided(decision);
        switch (decision) {
            case WAIT_AGAIN -> mServices.admission().putBack(this);
            case RETRY -> retry(attempt, outcome);
            case REFUSE_NOT_RUN -> refused(Refusal.unavailable(codeOf(outcome), "gave up"));
            default -> refused(Refusal.outcomeUnknown("the endpoint was lost"));
        }
    }

    private void noteFailure(Attempt attempt, Outcome outcome) {
        if (!(outcome instanceof Outcome.NotRun notRun)) {
            mBroken++;
            return;
        }
        if (!RetryDecision.isWantOfRoom(notRun)) {
            mBroken++;
        }
        if (notRun.code().equals("endpoint_full") || (attempt.isHop() && !notRun.isUnreachable())) {
            mServices.router().noteFull(attempt.place());
        } else {
            mServices.router().noteUnreachable(attempt);
        }
    }

    private void retry(Attempt attempt, Outcome outcome) {
        attempt.endpoint().map(Endpoint::vm).ifPresent(mTried::add);
        if (outcome instanceof Outcome.NotRun) {
            mServices.admission().putBack(this);
            return;
        }
        long jitter = mServices.random().nextLong(MAX_JITTER.toNanos());
        mServices
                .scheduler()
                .schedule(() -> mServices.admission().putBack(this), jitter, TimeUnit.NANOSECONDS);
    }

    private void relay(Attempt attempt, Outcome.Answered answered) {
        Callback end =
                Callback.from(
                        () -> {
                            ended(attempt);
                            mCallback.succeeded();
                        },
                        failure -> {
                            ended(attempt);
                            mServices.hooks().quarantine().broke(mRequest, attempt, failure);
                            mCallback.failed(failure);
                        });
        mServices
                .hooks()
                .relay()
                .relay(
                        mRequest,
                        attempt,
                        answered,
                        new StreamRelay.Destination(mResponse, end),
                        this::resume);
    }

    private void ended(Attempt attempt) {
        attempt.place().requestEnded();
        Duration time = mServices.clock().now().minus(mSentAt);
        mServices.metrics().answered(mRequest, attempt, time);
        mServices.admission().ended(mRequest.service().service(), time);
    }

    private void resume(String digest, HttpFields headers, Consumer<Outcome> outcome) {
        Optional<Attempt> attempt =
                mServices
                        .router()
                        .here(
                                mRequest,
                                e -> e.announcement().getVersionDigest().equals(digest),
                                mAttempts + 1);
        if (attempt.isEmpty()) {
            outcome.accept(new Outcome.NotRun("no_endpoint", Duration.ZERO));
            return;
        }
        mAttempts++;
        attempt.get().place().requestStarted();
        send(
                attempt.get(),
                headers,
                resumed -> {
                    attempt.get().place().requestEnded();
                    outcome.accept(resumed);
                });
    }

    private void send(Attempt attempt, HttpFields added, Consumer<Outcome> outcome) {
        mSentAt = mServices.clock().now();
        Duration remaining = mDeadline.minus(mSentAt);
        long millis = Math.max(1, remaining.toMillis());
        HttpFields.Mutable headers = HttpFields.build(mRequest.headers());
        headers.put(RequestHeaders.DEADLINE, millis);
        headers.put(
                RequestHeaders.PRIORITY,
                mRequest.route().priority().name().toLowerCase(Locale.ROOT));
        headers.remove(RequestHeaders.PREFIX);
        mRequest.prefix()
                .ifPresent(hash -> headers.put(RequestHeaders.PREFIX, Long.toHexString(hash)));
        if (!mRequest.isPassedOn()) {
            headers.remove(RequestHeaders.ALONE);
        }
        if (mServices.hooks().quarantine().mustRunAlone(mRequest)) {
            headers.put(RequestHeaders.ALONE, "true");
        }
        if (attempt.isHop()) {
            headers.put(RequestHeaders.HOP, mServices.router().dataCentre());
        }
        added.forEach(headers::put);
        headers.put(RequestHeaders.REQUEST_ID, attempt.requestId());
        HttpForwarder.Call call =
                HttpForwarder.Call.of(
                        mRequest.method(),
                        URI.create("http://" + attempt.address() + mRequest.pathQuery()),
                        headers,
                        mRequest.body().slice(),
                        Duration.ofMillis(millis));
        ExchangeWatch.Watched watched =
                mServices.hooks().watch().watch(attempt.requestId(), attempt.address());
        watched.abortBy(
                mServices.forwarder().send(call, OutcomeListener.of(attempt, watched, outcome))
                        ::abort);
    }

    private static String codeOf(Outcome outcome) {
        return outcome instanceof Outcome.NotRun notRun ? notRun.code() : "unavailable";
    }
}
