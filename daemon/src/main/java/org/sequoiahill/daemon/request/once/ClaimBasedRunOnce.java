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
 * Claims calls on routes that are not idempotent and carry an {@code Idempotency-Key}.
 *
 * <p>A call without a key is sent once and not claimed. A call that goes to another data centre's
 * entry is claimed there.
 */
public final class ClaimBasedRunOnce implements RunOnce {
    /** Header by which a caller names a call. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Present on an answer that was recorded for an earlier sending of the call. */
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
            Function<CallKey, CallOperations> ports,
            MeterRegistry metrics) {
        mNumbers = numbers;
        mClock = clock;
        mOperations = ports;
        mMetrics = metrics;
    }

    /**
     * Returns the claimer of an entry.
     *
     * @param numbers numbers of attempts
     * @param clock monotonic clock
     * @param ports makes the ports of a call
     * @param metrics counts calls by what became of them
     */
    static ClaimBasedRunOnce of(
            AttemptNumberGenerator numbers,
            MonotonicClock clock,
            Function<CallKey, CallOperations> ports,
            MeterRegistry metrics) {
        return new ClaimBasedRunOnce(numbers, clock, ports, metrics);
    }

    /**
     * Returns the claimer of an entry.
     *
     * @param identity who claims
     * @param registry durable claims
     * @param bars asks agents
     * @param numbers numbers of attempts
     * @param clock monotonic clock
     * @param scheduler runs what waits
     * @param metrics counts calls by what became of them
     */
    public static ClaimBasedRunOnce of(
            Identity identity,
            ClaimRegistry registry,
            AttemptBarClient bars,
            AttemptNumberGenerator numbers,
            MonotonicClock clock,
            ScheduledExecutorService scheduler,
            MeterRegistry metrics) {
        return of(
                numbers,
                clock,
                key -> new CallOperations(identity, registry, bars, scheduler, key),
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
        CallOperations ports = mOperations.apply(CallKey.of(request, key));
        RunOnceStateMachine machine =
                RunOnceStateMachine.of(
                        own, mClock, mClock.now().plus(request.service().limits().deadline()));
        RunOnceDriver driver = RunOnceDriver.of(machine, ports, own);
        SentCall call = new SentCall(driver, ports.ticketOf(own));
        return driver.begin().thenApply(action -> decide(action, attempt, call));
    }

    private Decision decide(RunOnceAction action, Attempt attempt, SentCall call) {
        if (action instanceof RunOnceAction.Send) {
            mSentCalls.put(attempt.requestId(), call);
            return new Decision.Send(
                    HttpFields.build().put(AttemptTicket.HEADER, call.ticket().toString()));
        }
        count(action);
        if (action instanceof RunOnceAction.Answer answer) {
            RecordedResponse recorded = answer.response();
            return new Decision.Replay(
                    recorded.status(), headersOf(answer), recorded.body().slice());
        } else if (action instanceof RunOnceAction.Refuse refuse) {
            return new Decision.Refuse(refusalOf(refuse.refusal()));
        }
        throw new IllegalStateException("a claim ended with " + action);
    }

    /** Returns what the machine is told of a sending; an answer is read whole first. */
    private static CompletableFuture<RunOnceEvent> eventOf(SentCall call, Outcome outcome) {
        if (outcome instanceof Outcome.NotRun) {
            return CompletableFuture.completedFuture(new RunOnceEvent.RefusedNotRun());
        }
        if (!(outcome instanceof Outcome.Responded answered)) {
            return CompletableFuture.completedFuture(new RunOnceEvent.ResponseLost());
        }
        HttpFields headers = answered.response().getHeaders();
        String contentType = headers.get(HttpHeader.CONTENT_TYPE);
        boolean isOwnAnswer = call.ticket().toString().equals(headers.get(AttemptTicket.HEADER));
        return BodyReader.read(answered.content(), RecordedResponse.MAX_BODY_BYTES)
                .handle(
                        (body, failure) ->
                                failure != null || !isOwnAnswer
                                        ? new RunOnceEvent.ResponseLost()
                                        : new RunOnceEvent.ResponseReceived(
                                                RecordedResponse.of(
                                                        answered.response().getStatus(),
                                                        contentType == null ? "" : contentType,
                                                        body)));
    }

    private static Outcome outcomeOf(RunOnceAction action) {
        if (action instanceof RunOnceAction.Answer answer) {
            ByteBuffer body = answer.response().body().slice();
            Content.Source content = new ByteBufferContentSource(body);
            return new Outcome.Responded(
                    new ResponseHead(answer.response().status(), headersOf(answer)), content);
        } else if (action instanceof RunOnceAction.NotRun) {
            return new Outcome.NotRun("barred", Duration.ZERO);
        } else if (action instanceof RunOnceAction.Refuse refuse) {
            return new Outcome.Unknown(new RunOnceException(refusalOf(refuse.refusal()).message()));
        }
        throw new IllegalStateException("a call ended with " + action);
    }

    private static HttpFields headersOf(RunOnceAction.Answer answer) {
        HttpFields.Mutable headers = HttpFields.build();
        if (!answer.response().contentType().isEmpty()) {
            headers.put(HttpHeader.CONTENT_TYPE, answer.response().contentType());
        }
        if (answer.isReplay()) {
            headers.put(REPLAY, "true");
        }
        return headers;
    }

    private static Refusal invalidKey() {
        return Refusal.invalid(
                400, "bad_idempotency_key", "a key has 1 to " + MAX_KEY_CHARS + " characters");
    }

    private static Refusal refusalOf(RunOnceRefusal refusal) {
        return switch (refusal) {
            case NO_MAJORITY ->
                    Refusal.unavailable(
                            "claims_unavailable",
                            "no majority records claims now; this sending has not run, an earlier"
                                    + " one of the same key may have");
            case CONTENT_MISMATCH ->
                    Refusal.invalid(
                            422, "key_reused", "the key belongs to a call with other content");
            case KEY_EXPIRED ->
                    new Refusal(
                            409,
                            "key_expired",
                            "what became of this key's call is no longer on record",
                            false,
                            Duration.ZERO);
            case OUTCOME_UNKNOWN ->
                    Refusal.outcomeUnknown("the call may have run; it never runs again");
            case OUTCOME_PENDING ->
                    Refusal.outcomeUnknown("the call may be running; ask again with the same key");
        };
    }

    private void count(RunOnceAction action) {
        String end = action.getClass().getSimpleName();
        if (action instanceof RunOnceAction.Refuse refuse) {
            end = refuse.refusal().name();
        } else if (action instanceof RunOnceAction.Answer answer && answer.isReplay()) {
            end = "Replay";
        }
        mMetrics.counter("sequoia_run_once", "end", end).increment();
    }

    /** Tells why a call has no answer. */
    private static final class RunOnceException extends Exception {
        private static final long serialVersionUID = 1L;

        RunOnceException(String message) {
            super(message);
        }
    }
}
