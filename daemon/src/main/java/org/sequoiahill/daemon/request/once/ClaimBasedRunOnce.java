package org.sequoiahill.daemon.request.once;

import io.micrometer.core.instrument.MeterRegistry;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.content.ByteBufferContentSource;
import org.sequoiahill.daemon.connection.BodyReader;
import org.sequoiahill.daemon.process.claims.ClaimRegistry;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.directory.Endpoint;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.Attempt;
import org.sequoiahill.daemon.request.Outcome;
import org.sequoiahill.daemon.request.Refusal;
import org.sequoiahill.daemon.request.ResponseHead;
import org.sequoiahill.daemon.request.RoutedRequest;
import org.sequoiahill.daemon.request.RunOnce;

/**
 * Makes requests run at most once by claims in a replicated registry. It claims requests that carry
 * an {@code Idempotency-Key} on routes that are not idempotent.
 *
 * <p>A request without a key is not claimed; it is not retried once it may have run. A request that
 * is forwarded to another data centre's entry is claimed there.
 */
public final class ClaimBasedRunOnce implements RunOnce {
    /** Header by which a caller identifies a request and its resends. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Present on a response that was recorded for another attempt of the request. */
    public static final String REPLAY = "Sequoia-Replay";

    private static final int MAX_KEY_CHARS = 255;

    private final AttemptNumberGenerator mNumbers;
    private final MonotonicClock mClock;
    private final Function<CallKey, CallOperations> mOperations;
    private final MeterRegistry mMetrics;
    private final Map<String, SentCall> mSentCalls = new ConcurrentHashMap<>();

    private ClaimBasedRunOnce(
            AttemptNumberGenerator numbers,
            MonotonicClock clock,
            Function<CallKey, CallOperations> operations,
            MeterRegistry metrics) {
        mNumbers = numbers;
        mClock = clock;
        mOperations = operations;
        mMetrics = metrics;
    }

    /**
     * Returns an instance for an entry.
     *
     * @param numbers generates attempt numbers
     * @param clock monotonic clock
     * @param operations returns the operations on a request
     * @param metrics counts requests by result
     */
    static ClaimBasedRunOnce of(
            AttemptNumberGenerator numbers,
            MonotonicClock clock,
            Function<CallKey, CallOperations> operations,
            MeterRegistry metrics) {
        return new ClaimBasedRunOnce(numbers, clock, operations, metrics);
    }

    /**
     * Returns an instance for an entry.
     *
     * @param identity identity of this process, which sends the claims
     * @param registry durable claims
     * @param barClient bars attempts at agents
     * @param numbers generates attempt numbers
     * @param clock monotonic clock
     * @param scheduler runs delayed tasks
     * @param metrics counts requests by result
     */
    public static ClaimBasedRunOnce of(
            Identity identity,
            ClaimRegistry registry,
            AttemptBarClient barClient,
            AttemptNumberGenerator numbers,
            MonotonicClock clock,
            ScheduledExecutorService scheduler,
            MeterRegistry metrics) {
        return of(
                numbers,
                clock,
                key -> new CallOperations(identity, registry, barClient, scheduler, key),
                metrics);
    }

    private record SentCall(RunOnceDriver driver, AttemptTicket ticket) {}

    @Override
    public CompletableFuture<Decision> claim(RoutedRequest request, Attempt attempt) {
        String key = request.headers().get(IDEMPOTENCY_KEY);
        if (request.route().idempotent() || key == null) {
            return CompletableFuture.completedFuture(new Decision.Send(HttpFields.EMPTY));
        }
        if (key.isEmpty() || key.length() > MAX_KEY_CHARS) {
            return CompletableFuture.completedFuture(new Decision.Refuse(invalidKey()));
        }
        return attempt.endpoint()
                .map(endpoint -> claim(request, attempt, endpoint, key))
                .orElse(CompletableFuture.completedFuture(new Decision.Send(HttpFields.EMPTY)));
    }

    @Override
    public CompletableFuture<Outcome> settle(
            RoutedRequest request, Attempt attempt, Outcome outcome) {
        SentCall call = mSentCalls.remove(attempt.requestId());
        if (call == null) {
            return CompletableFuture.completedFuture(outcome);
        }
        return eventOf(call, outcome)
                .thenCompose(call.driver()::settle)
                .thenApply(
                        action -> {
                            count(action);
                            return outcomeOf(action);
                        });
    }

    private CompletableFuture<Decision> claim(
            RoutedRequest request, Attempt attempt, Endpoint endpoint, String key) {
        AgentProcess agent =
                new AgentProcess(
                        endpoint.vm(), endpoint.announcement().getSender().getIncarnation());
        ClaimHolder own = new ClaimHolder(mNumbers.next(), agent);
        CallOperations operations = mOperations.apply(CallKey.of(request, key));
        RunOnceStateMachine stateMachine =
                RunOnceStateMachine.of(
                        own, mClock, mClock.now().plus(request.service().limits().deadline()));
        RunOnceDriver driver = RunOnceDriver.of(stateMachine, operations, own);
        SentCall call = new SentCall(driver, operations.ticketOf(own));
        return driver.begin().thenApply(action -> decide(action, attempt, call));
    }

    private Decision decide(RunOnceAction action, Attempt attempt, SentCall call) {
        if (action instanceof RunOnceAction.Send) {
            mSentCalls.put(attempt.requestId(), call);
            return new Decision.Send(
                    HttpFields.build().put(AttemptTicket.HEADER, call.ticket().toString()));
        }
        count(action);
        if (action instanceof RunOnceAction.Answer answerAction) {
            RecordedResponse recorded = answerAction.response();
            return new Decision.Replay(
                    recorded.status(), headersOf(answerAction), recorded.body().slice());
        } else if (action instanceof RunOnceAction.Refuse refuse) {
            return new Decision.Refuse(refusalOf(refuse.refusal()));
        }
        throw new IllegalStateException("unexpected action after a claim: " + action);
    }

    /** Returns the state machine's event for an outcome; reads a response completely first. */
    private static CompletableFuture<RunOnceEvent> eventOf(SentCall call, Outcome outcome) {
        if (outcome instanceof Outcome.NotRun) {
            return CompletableFuture.completedFuture(new RunOnceEvent.RefusedNotRun());
        }
        if (!(outcome instanceof Outcome.Responded responded)) {
            return CompletableFuture.completedFuture(new RunOnceEvent.ResponseLost());
        }
        HttpFields headers = responded.response().getHeaders();
        String contentType = headers.get(HttpHeader.CONTENT_TYPE);
        boolean isOwnResponse = call.ticket().toString().equals(headers.get(AttemptTicket.HEADER));
        return BodyReader.read(responded.content(), RecordedResponse.MAX_BODY_BYTES)
                .handle(
                        (body, failure) ->
                                failure != null || !isOwnResponse
                                        ? new RunOnceEvent.ResponseLost()
                                        : new RunOnceEvent.ResponseReceived(
                                                RecordedResponse.of(
                                                        responded.response().getStatus(),
                                                        contentType == null ? "" : contentType,
                                                        body)));
    }

    private static Outcome outcomeOf(RunOnceAction action) {
        if (action instanceof RunOnceAction.Answer answerAction) {
            ByteBuffer body = answerAction.response().body().slice();
            Content.Source content = new ByteBufferContentSource(body);
            return new Outcome.Responded(
                    new ResponseHead(answerAction.response().status(), headersOf(answerAction)),
                    content);
        } else if (action instanceof RunOnceAction.NotRun) {
            return new Outcome.NotRun("barred", Duration.ZERO);
        } else if (action instanceof RunOnceAction.Refuse refuse) {
            return new Outcome.Unknown(new RunOnceException(refusalOf(refuse.refusal()).message()));
        }
        throw new IllegalStateException("unexpected action after an attempt: " + action);
    }

    private static HttpFields headersOf(RunOnceAction.Answer answerAction) {
        HttpFields.Mutable headers = HttpFields.build();
        if (!answerAction.response().contentType().isEmpty()) {
            headers.put(HttpHeader.CONTENT_TYPE, answerAction.response().contentType());
        }
        if (answerAction.isReplay()) {
            headers.put(REPLAY, "true");
        }
        return headers;
    }

    private static Refusal invalidKey() {
        return Refusal.invalid(
                400,
                "bad_idempotency_key",
                "an idempotency key has 1 to " + MAX_KEY_CHARS + " characters");
    }

    private static Refusal refusalOf(RunOnceRefusal refusal) {
        return switch (refusal) {
            case NO_MAJORITY ->
                    Refusal.unavailable(
                            "claims_unavailable",
                            "no quorum of the claim registry is available; this attempt has not"
                                    + " run, an earlier one with the same key may have");
            case CONTENT_MISMATCH ->
                    Refusal.invalid(
                            422,
                            "key_reused",
                            "the idempotency key was used for a request with different content");
            case KEY_EXPIRED ->
                    new Refusal(
                            409,
                            "key_expired",
                            "the result for this idempotency key is no longer recorded",
                            false,
                            Duration.ZERO);
            case OUTCOME_UNKNOWN ->
                    Refusal.outcomeUnknown("the request may have run and will not run again");
            case OUTCOME_PENDING ->
                    Refusal.outcomeUnknown(
                            "the request may be running; resend it with the same idempotency key");
        };
    }

    private void count(RunOnceAction action) {
        String end = action.getClass().getSimpleName();
        if (action instanceof RunOnceAction.Refuse refuse) {
            end = refuse.refusal().name();
        } else if (action instanceof RunOnceAction.Answer answerAction && answerAction.isReplay()) {
            end = "Replay";
        }
        mMetrics.counter("sequoia_run_once", "end", end).increment();
    }

    /** Signals that a request has no response, and why. */
    private static final class RunOnceException extends Exception {
        private static final long serialVersionUID = 1L;

        RunOnceException(String message) {
            super(message);
        }
    }
}
