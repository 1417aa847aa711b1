package org.sequoiahill.daemon.request;

import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.daemon.connection.ExchangeMonitor;

/**
 * Turns what the forwarder hears of an attempt into an outcome.
 *
 * <p>An answer that does not echo the attempt's identity belongs to another request: it is dropped,
 * and its connection is closed.
 *
 * @param attempt the attempt
 * @param watched its watch, which ends here or with the answer's body
 * @param outcome takes the outcome, once
 */
record OutcomeListener(
        Attempt attempt, ExchangeMonitor.MonitoredExchange watched, Consumer<Outcome> outcome)
        implements HttpForwarder.Listener {
    static OutcomeListener of(
            Attempt attempt, ExchangeMonitor.MonitoredExchange watched, Consumer<Outcome> outcome) {
        return new OutcomeListener(attempt, watched, outcome);
    }

    @Override
    public void onResponse(Response answer, Content.Source content) {
        HttpFields headers = answer.getHeaders();
        if (!attempt.requestId().equals(headers.get(RequestHeaders.REQUEST_ID))) {
            watched.end();
            IOException crossed = new IOException("the answer belongs to another request");
            answer.abort(crossed);
            outcome.accept(new Outcome.Unknown(crossed));
            return;
        }
        LoadHeader.parse(headers.get(RequestHeaders.LOAD))
                .ifPresent(load -> attempt.place().load().report(load.running(), load.limit()));
        if (isRetryableRefusal(answer)) {
            end(content, notRun(headers));
            return;
        }
        if (headers.contains(RequestHeaders.OUTCOME_UNKNOWN)) {
            String code = headers.get(RequestHeaders.OUTCOME_UNKNOWN);
            end(content, new Outcome.Unknown(new EndpointLostException(code)));
            return;
        }
        outcome.accept(new Outcome.Answered(answer, watched.monitorContent(content)));
    }

    @Override
    public void onFailure(Throwable failure, boolean isNotRun) {
        watched.end();
        outcome.accept(
                isNotRun
                        ? new Outcome.NotRun(Outcome.NotRun.UNREACHABLE, Duration.ZERO)
                        : new Outcome.Unknown(failure));
    }

    /** A refusal of the request itself would be the same elsewhere, so it goes to the caller. */
    private static boolean isRetryableRefusal(Response answer) {
        return answer.getHeaders().contains(RequestHeaders.NOT_RUN)
                && answer.getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503;
    }

    private static Outcome notRun(HttpFields headers) {
        String code = headers.get(RequestHeaders.REFUSAL);
        long seconds = RequestHeaders.parsePositive(headers.get(HttpHeader.RETRY_AFTER));
        return new Outcome.NotRun(code == null ? "refused" : code, Duration.ofSeconds(seconds));
    }

    private void end(Content.Source content, Outcome known) {
        watched.end();
        Content.Source.consumeAll(
                content,
                Callback.from(() -> outcome.accept(known), failure -> outcome.accept(known)));
    }
}
