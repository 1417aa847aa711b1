package org.sequoiahill.daemon.connection;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.sequoiahill.daemon.connection.LivenessTracker.Limits;
import org.sequoiahill.daemon.connection.LivenessTracker.Verdict;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.process.time.PeriodicTasks;
import org.tinylog.Logger;

/**
 * Monitors the exchanges that this process has sent. Aborts those whose connection is dead, whose
 * peer doesn't respond to queries, or whose request the peer has not received or has no record of.
 */
public final class ExchangeMonitor {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    private final Limits mLimits;
    private final MonotonicClock mClock;
    private final ExchangeStatusClient mStatusClient;
    private final MeterRegistry mMetrics;
    private final Set<MonitoredExchange> mExchanges = ConcurrentHashMap.newKeySet();

    private ExchangeMonitor(
            Limits limits,
            MonotonicClock clock,
            ExchangeStatusClient statusClient,
            MeterRegistry metrics) {
        mLimits = limits;
        mClock = clock;
        mStatusClient = statusClient;
        mMetrics = metrics;
    }

    /** Returns a monitor that checks exchanges once {@link #start} is called. */
    public static ExchangeMonitor of(
            Limits limits,
            MonotonicClock clock,
            ExchangeStatusClient statusClient,
            MeterRegistry metrics) {
        return new ExchangeMonitor(limits, clock, statusClient, metrics);
    }

    /** Starts to check all exchanges periodically. */
    public void start(ScheduledExecutorService scheduler) {
        PeriodicTasks.schedule(scheduler, CHECK_INTERVAL, "exchange-watch", this::check);
    }

    /** Checks all exchanges once. */
    void check() {
        mExchanges.forEach(MonitoredExchange::check);
    }

    /**
     * Monitors an exchange that is being sent; the caller must call {@link MonitoredExchange#end}.
     *
     * @param id id of the request
     * @param address data address of the peer, as host:port
     */
    public MonitoredExchange monitor(String id, String address) {
        MonitoredExchange exchange = new MonitoredExchange(id, address);
        mExchanges.add(exchange);
        return exchange;
    }

    /** Returns the number of monitored exchanges. */
    public int size() {
        return mExchanges.size();
    }

    /** One monitored exchange. */
    public final class MonitoredExchange {
        private final String mId;
        private final String mAddress;
        private final Duration mStart = mClock.now();
        private final LivenessTracker mTracker = LivenessTracker.of(mLimits, mStart);
        private final CompletableFuture<Consumer<Throwable>> mAbort = new CompletableFuture<>();

        MonitoredExchange(String id, String address) {
            mId = id;
            mAddress = address;
        }

        /** Sets the function that aborts the exchange. */
        public void abortWith(Consumer<Throwable> abort) {
            mAbort.complete(abort);
        }

        /** Ends the monitoring of the exchange. */
        public void end() {
            mExchanges.remove(this);
        }

        /** Returns a source of the response's body that records its progress and end. */
        public Content.Source monitorContent(Content.Source content) {
            mTracker.received(0, mClock.now());
            mTracker.setWaiting(false, mClock.now());
            return new MonitoredSource(content, mTracker, mClock, this::end);
        }

        private void check() {
            if (mTracker.check(mClock.now()) != Verdict.ASK) {
                return;
            }
            Duration queriedAt = mClock.now();
            mStatusClient
                    .query(mAddress, mId, queriedAt.minus(mStart))
                    .whenComplete(
                            (report, failure) -> apply(verdictOf(report, failure, queriedAt)));
        }

        private Verdict verdictOf(
                ExchangeTable.Report report, Throwable failure, Duration queriedAt) {
            Duration now = mClock.now();
            boolean isLate = now.minus(queriedAt).compareTo(ExchangeTable.MAX_QUERY_TRANSIT) >= 0;
            return failure != null || isLate
                    ? mTracker.queryFailed(now)
                    : mTracker.statusReceived(report.state(), report.sent(), now);
        }

        private void apply(Verdict verdict) {
            if (verdict == Verdict.ALIVE || !mExchanges.remove(this)) {
                return;
            }
            mMetrics.counter("sequoia_exchanges_lost", "cause", verdict.name()).increment();
            Logger.warn("aborted exchange {} with {}: {}", mId, mAddress, verdict);
            mAbort.thenAccept(abort -> abort.accept(new ExchangeLostException(verdict)));
        }
    }
}
