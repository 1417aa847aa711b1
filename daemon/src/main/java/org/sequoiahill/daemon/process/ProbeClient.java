package org.sequoiahill.daemon.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.sequoiahill.daemon.connection.ExchangeStatusClient;
import org.sequoiahill.daemon.connection.HttpExchangeStatusClient;
import org.sequoiahill.daemon.request.RequestHeaders;

/** HTTP client for queries between processes, with connections separate from those of requests. */
final class ProbeClient {
    private static final int MAX_THREADS = 4;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient mClient;

    private ProbeClient(HttpClient client) {
        mClient = client;
    }

    static ProbeClient create() {
        HttpClient client = new HttpClient();
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 1);
        threads.setName("probe-client");
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setFollowRedirects(false);
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        return new ProbeClient(client);
    }

    void start() {
        try {
            mClient.start();
        } catch (Exception e) {
            throw new UncheckedIOException(new IOException("the probe client can't start", e));
        }
    }

    /** Returns a client for the status of exchanges. */
    ExchangeStatusClient exchangeStatusClient() {
        return HttpExchangeStatusClient.of(mClient, RequestHeaders.REQUEST_ID);
    }

    /** Returns the HTTP client for other queries. */
    HttpClient http() {
        return mClient;
    }
}
