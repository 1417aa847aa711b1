package org.sequoiahill.daemon.connection;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.sequoiahill.daemon.connection.ExchangeTable.Report;
import org.sequoiahill.daemon.connection.LivenessTracker.PeerState;

/**
 * Queries a peer over HTTP for the status of an exchange. Each query uses a new connection, so that
 * it does not depend on the connection of the exchange.
 */
public final class HttpExchangeStatusClient implements ExchangeStatusClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_BYTES = 64;
    private static final int OK = 200;
    private static final Pattern REPORT =
            Pattern.compile("(RUNNING|ENDED|BARRED|UNKNOWN) ([0-9]{1,18})");

    private final HttpClient mClient;
    private final String mIdHeader;

    private HttpExchangeStatusClient(HttpClient client, String idHeader) {
        mClient = client;
        mIdHeader = idHeader;
    }

    /**
     * Returns a status client.
     *
     * @param client client that nothing else uses
     * @param idHeader header that carries the id of a request
     */
    public static HttpExchangeStatusClient of(HttpClient client, String idHeader) {
        return new HttpExchangeStatusClient(client, idHeader);
    }

    @Override
    public CompletableFuture<Report> query(String address, String id, Duration age) {
        CompletableFuture<Report> report = new CompletableFuture<>();
        mClient.POST("http://" + address + ExchangeTrackingHandler.QUERY_PATH)
                .headers(
                        headers ->
                                headers.put(mIdHeader, id)
                                        .put(
                                                ExchangeTrackingHandler.AGE_HEADER,
                                                Long.toString(age.toMillis()))
                                        .put(HttpHeader.CONNECTION, "close"))
                .timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .send(
                        new BufferingResponseListener(MAX_BYTES) {
                            @Override
                            public void onComplete(Result result) {
                                complete(result, getContent(), report);
                            }
                        });
        return report;
    }

    private static void complete(Result result, byte[] content, CompletableFuture<Report> report) {
        if (result.isFailed() || result.getResponse().getStatus() != OK) {
            report.completeExceptionally(
                    new IOException(
                            "an exchange status query failed or got a status other than 200"));
            return;
        }
        Matcher matcher = REPORT.matcher(new String(content, StandardCharsets.US_ASCII));
        if (!matcher.matches()) {
            report.completeExceptionally(
                    new IOException("malformed response to an exchange status query"));
            return;
        }
        report.complete(
                new Report(PeerState.valueOf(matcher.group(1)), Long.parseLong(matcher.group(2))));
    }
}
