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
 * Converts the forwarder's events for an attempt into an outcome.
 *
 * <p>A response that does not echo the attempt's request id belongs to another request: it is
 * discarded and its connection closed.
 *
 * @param attempt the attempt
 * @param monitored the attempt's monitoring, which ends here or with the response's body
 * @param outcome receives the outcome, once
 */
record OutcomeListener(
        Attempt attempt, ExchangeMonitor.MonitoredExchange monitored, Consumer<Outcome> outcome)
        implements HttpForwarder.Listener {
    static OutcomeListener of(
            Attempt attempt,
            ExchangeMonitor.MonitoredExchange monitored,
            Consumer<Outcome> outcome) {
        return new OutcomeListener(attempt, monitored, outcome);
    }

    @Override
    public void onResponse(Response response, Content.Source content) {
        HttpFields headers = response.getHeaders();
        if (!attempt.requestId().equals(headers.get(RequestHeaders.REQUEST_ID))) {
            monitored.end();
            IOException mismatch = new IOException("the response has the id of another request");
            response.abort(mismatch);
            outcome.accept(new Outcome.Unknown(mismatch));
            return;
        }
        LoadHeader.parse(headers.get(RequestHeaders.LOAD))
                .ifPresent(load -> attempt.target().load().report(load.running(), load.limit()));
        if (isRetryableRefusal(response)) {
            end(content, notRun(headers));
            return;
        }
        if (headers.contains(RequestHeaders.OUTCOME_UNKNOWN)) {
            String code = headers.get(RequestHeaders.OUTCOME_UNKNOWN);
            end(content, new Outcome.Unknown(new EndpointLostException(code)));
            return;
        }
        outcome.accept(new Outcome.Responded(response, monitored.monitorContent(content)));
    }

    @Override
    public void onFailure(Throwable failure, boolean isNotRun) {
        monitored.end();
        outcome.accept(
                isNotRun
                        ? new Outcome.NotRun(Outcome.NotRun.UNREACHABLE, Duration.ZERO)
                        : new Outcome.Unknown(failure));
    }

    /**
     * Returns whether another endpoint may accept the request: its refusal has status 503. A
     * refusal with any other status concerns the request itself; every endpoint would repeat it, so
     * the caller receives it.
     */
    private static boolean isRetryableRefusal(Response response) {
        return response.getHeaders().contains(RequestHeaders.NOT_RUN)
                && response.getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503;
    }

    private static Outcome notRun(HttpFields headers) {
        String code = headers.get(RequestHeaders.REFUSAL);
        long seconds = RequestHeaders.parsePositive(headers.get(HttpHeader.RETRY_AFTER));
        return new Outcome.NotRun(code == null ? "refused" : code, Duration.ofSeconds(seconds));
    }

    private void end(Content.Source content, Outcome result) {
        monitored.end();
        Content.Source.consumeAll(
                content,
                Callback.from(() -> outcome.accept(result), failure -> outcome.accept(result)));
    }
}
