package org.sequoiahill.daemon.request.gate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.process.time.PeriodicTasks;

/** Polls an engine for its load, with at most one request in flight. */
public final class EngineLoadPoller {
    private static final Duration INTERVAL = Duration.ofMillis(500);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_REPORT_BYTES = 64 << 10;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final URI mEngine;
    private final HttpClient mClient;
    private final MonotonicClock mClock;
    private final Consumer<EngineLoad.Report> mReports;
    private final AtomicBoolean mIsPolling = new AtomicBoolean();

    private EngineLoadPoller(
            URI engine,
            HttpClient client,
            MonotonicClock clock,
            Consumer<EngineLoad.Report> reports) {
        mEngine = engine;
        mClient = client;
        mClock = clock;
        mReports = reports;
    }

    /** Returns a poller that passes each report to the consumer. */
    public static EngineLoadPoller of(
            URI engine,
            HttpClient client,
            MonotonicClock clock,
            Consumer<EngineLoad.Report> reports) {
        return new EngineLoadPoller(engine, client, clock, reports);
    }

    /** Starts periodic polling. */
    public void start(ScheduledExecutorService scheduler) {
        PeriodicTasks.schedule(scheduler, INTERVAL, "load-report", this::poll);
    }

    /**
     * Parses a report; empty if it is malformed or states no number of running requests.
     *
     * @param requestedAt monotonic time at which the report was requested, so that network delay
     *     counts towards its age
     */
    static Optional<EngineLoad.Report> parse(byte[] body, Duration requestedAt) {
        try {
            JsonNode state = MAPPER.readTree(body);
            if (!state.path("running").canConvertToInt()) {
                return Optional.empty();
            }
            Duration lag = Duration.ofMillis(Math.max(0, state.path("lagMillis").asLong(0)));
            return Optional.of(
                    new EngineLoad.Report(
                            Math.max(0, state.path("running").asInt()),
                            Math.max(0, state.path("waiting").asInt(0)),
                            requestedAt.minus(lag)));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private void poll() {
        if (!mIsPolling.compareAndSet(false, true)) {
            return;
        }
        Duration requestedAt = mClock.now();
        mClient.newRequest(mEngine + "/admin/state")
                .timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .send(
                        new BufferingResponseListener(MAX_REPORT_BYTES) {
                            @Override
                            public void onComplete(Result result) {
                                mIsPolling.set(false);
                                if (result.isSucceeded()
                                        && result.getResponse().getStatus() == HttpStatus.OK_200) {
                                    parse(getContent(), requestedAt).ifPresent(mReports);
                                }
                            }
                        });
    }
}
