package org.sequoiahill.daemon.request;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.connection.ExchangeWatch;
import org.sequoiahill.daemon.process.directory.Endpoint;

/** One caller's request from its admission to its answer. */
final class Exchange {
    private static final int MAX_ATTEMPTS_HERE = 3;

    private final Router mRouter;
    private final HttpForwarder mForwarder;
    private final EntryHooks mHooks;
    private final RoutedRequest mRequest;
    private final org.eclipse.jetty.server.Response mResponse;
    private final Callback mCallback;
    private final List<String> mTried = new ArrayList<>();

    Exchange(
            Router router,
            HttpForwarder forwarder,
            EntryHooks hooks,
            RoutedRequest request,
            org.eclipse.jetty.server.Response response,
            Callback callback) {
        mRouter = router;
        mForwarder = forwarder;
        mHooks = hooks;
        mRequest = request;
        mResponse = response;
        mCallback = callback;
    }

    /** Starts the exchange; the callback is completed at its end. */
    void start() {
        Optional<Refusal> quarantined = mHooks.quarantine().check(mRequest);
        if (quarantined.isPresent()) {
            refuse(quarantined.get());
            return;
        }
        attempt();
    }

    private void attempt() {
        Optional<Attempt> attempt = next();
        if (attempt.isEmpty()) {
            refuse(Refusal.unavailable("no_endpoint", "no endpoint takes the request now"));
            return;
        }
        mTried.add(attempt.get().endpoint().map(Endpoint::vm).orElse(attempt.get().address()));
        claim(attempt.get());
    }

    private Optional<Attempt> next() {
        String service = mRequest.service().service();
        int number = mTried.size() + 1;
        if (number <= MAX_ATTEMPTS_HERE) {
            Optional<Attempt> here = mRouter.here(service, mTried, number);
            if (here.isPresent()) {
                return here;
            }
        }
        return mRequest.isPassedOn() ? Optional.empty() : mRouter.elsewhere(service, number);
    }

    private void claim(Attempt attempt) {
        mHooks.runOnce()
                .claim(mRequest, attempt)
                .whenComplete(
                        (decision, failure) -> {
                            if (failure != null) {
                                refuse(Refusal.unavailable("claim_failed", "no claim was made"));
                                return;
                            }
                            follow(attempt, decision);
                        });
    }

    private void follow(Attempt attempt, RunOnce.Decision decision) {
        if (decision instanceof RunOnce.Decision.Send send) {
            send(attempt, send.headers(), outcome -> settle(attempt, outcome));
        } else if (decision instanceof RunOnce.Decision.Refuse refuse) {
            refuse(refuse.refusal());
        } else if (decision instanceof RunOnce.Decision.Replay replay) {
            mResponse.setStatus(replay.status());
            replay.headers().forEach(mResponse.getHeaders()::add);
            mResponse.write(true, replay.body().slice(), mCallback);
        }
    }

    private void settle(Attempt attempt, Outcome outcome) {
        mHooks.quarantine().ended(mRequest, attempt, outcome);
        mHooks.runOnce()
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
        attempt.endpoint().ifPresent(Endpoint::ended);
        if (outcome instanceof Outcome.Unknown unknown && !mRequest.route().idempotent()) {
            refuse(Refusal.outcomeUnknown("the endpoint was lost: " + unknown.cause()));
            return;
        }
        if (attempt.isHop()) {
            refuse(Refusal.unavailable("no_endpoint", "no data centre has room now"));
            return;
        }
        attempt();
    }

    private void relay(Attempt attempt, Outcome.Answered answered) {
        Callback end =
                Callback.from(
                        () -> {
                            attempt.endpoint().ifPresent(Endpoint::ended);
                            mCallback.succeeded();
                        },
                        failure -> {
                            attempt.endpoint().ifPresent(Endpoint::ended);
                            mHooks.quarantine().broke(mRequest, attempt, failure);
                            mCallback.failed(failure);
                        });
        mHooks.relay()
                .relay(
                        mRequest,
                        attempt,
                        answered,
                        new StreamRelay.Destination(mResponse, end),
                        this::resume);
    }

    private void resume(String digest, HttpFields headers, Consumer<Outcome> outcome) {
        Optional<Attempt> attempt =
                mRouter.here(
                        mRequest.service().service(),
                        endpoint ->
                                !mTried.contains(endpoint.vm())
                                        && endpoint.announcement()
                                                .getVersionDigest()
                                                .equals(digest),
                        mTried.size() + 1);
        if (attempt.isEmpty()) {
            outcome.accept(new Outcome.NotRun("no_endpoint", Duration.ZERO));
            return;
        }
        attempt.get().endpoint().map(Endpoint::vm).ifPresent(mTried::add);
        send(attempt.get(), headers, outcome);
    }

    private void send(Attempt attempt, HttpFields added, Consumer<Outcome> outcome) {
        HttpFields.Mutable headers = HttpFields.build(mRequest.headers());
        added.forEach(headers::put);
        headers.put(RequestHeaders.REQUEST_ID, attempt.requestId());
        if (attempt.isHop()) {
            headers.put(RequestHeaders.HOP, mRouter.dataCentre());
        }
        if (mHooks.quarantine().mustRunAlone(mRequest)) {
            headers.put(RequestHeaders.ALONE, "true");
        }
        attempt.endpoint().ifPresent(Endpoint::began);
        HttpForwarder.Call call =
                new HttpForwarder.Call(
                        mRequest.method(),
                        URI.create("http://" + attempt.address() + mRequest.pathQuery()),
                        headers,
                        mRequest.body().slice(),
                        mRequest.service().limits().deadline());
        ExchangeWatch.Watched watched =
                mHooks.watch().watch(attempt.requestId(), attempt.address());
        watched.abortBy(
                mForwarder.send(call, OutcomeListener.of(attempt, watched, outcome))::abort);
    }

    private void refuse(Refusal refusal) {
        refusal.write(mResponse, mCallback);
    }
}
