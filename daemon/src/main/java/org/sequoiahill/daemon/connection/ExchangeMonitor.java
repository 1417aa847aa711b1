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

/** Watches the exchanges of this process and ends those whose connections have gone silent. */
public final class ExchangeMonitor {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    private final Limits mBounds;
    private final MonotonicClock mClock;
    private final ExchangeStatusClient mAsker;
    private final MeterRegistry mMetrics;
    private final Set<MonitoredExchange> mWatched = ConcurrentHashMap.newKeySet();

    private ExchangeMonitor(
            Limits bounds,
            MonotonicClock clock,
            ExchangeStatusClient asker,
            MeterRegistry metrics) {
        mBounds = bounds;
        mClock = clock;
        mAsker = asker;
        mMetrics = metrics;
    }

    /** Returns a watch; {@link #start} makes it check. */
    public static ExchangeMonitor of(
            Limits bounds,
            MonotonicClock clock,
            ExchangeStatusClient asker,
            MeterRegistry metrics) {
        return new ExchangeMonitor(bounds, clock, asker, metrics);
    }

    /** Starts to check all exchanges again and again. */
    public void start(ScheduledExecutorService scheduler) {
        PeriodicTasks.schedule(scheduler, CHECK_INTERVAL, "exchange-watch", this::check);
    }

    /** Checks all exchanges once. */
    void check() {
        mWatched.forEach(MonitoredExchange::check);
    }

    /**
     * Watches an exchange that is sent now; {@link MonitoredExchange#end} must follow.
     *
     * @param id identity of the request
     * @param address data address of the peer, as host:port
     */
    public MonitoredExchange monitor(String id, String address) {
        MonitoredExchange watched = new MonitoredExchange(id, address);
        mWatched.add(watched);
        return watched;
    }

    /** Returns the exchanges that are watched. */
    public int size() {
        return mWatched.size();
    }

    /** One watched exchange. */
    public final class MonitoredExchange {
        private final String mId;
        private final String mAddress;
        private final Duration mStart = mClock.now();
        private final LivenessTracker mTracker = LivenessTracker.of(mBounds, mStart);
        private final CompletableFuture<Consumer<Throwable>> mAbort = new CompletableFuture<>();

        MonitoredExchange(String id, String address) {
            mId = id;
            mAddress = address;
        }

        /** Tells how the exchange is ended. */
        public void abortWith(Consumer<Throwable> abort) {
            mAbort.complete(abort);
        }

        /** Notes the end of the exchange. */
        public void end() {
            mWatched.remove(this);
        }

        /** Returns a source of the answer's body that notes its progress and end. */
        public Content.Source monitorContent(Content.Source content) {
            mTracker.received(0, mClock.now());
            mTracker.setWaiting(false, mClock.now());
            return new MonitoredSource(content, mTracker, mClock, this::end);
        }

        private void check() {
            if (mTracker.check(mClock.now()) != Verdict.ASK) {
                return;
            }
            Duration asked = mClock.now();
            mAsker.query(mAddress, mId, asked.minus(mStart))
                    .whenComplete((report, failure) -> follow(verdict(report, failure, asked)));
        }

        private Verdict verdict(ExchangeTable.Report report, Throwable failure, Duration asked) {
            Duration now = mClock.now();
            boolean isLate = now.minus(asked).compareTo(ExchangeTable.MAX_QUERY_TRANSIT) >= 0;
            return failure != null || isLate
                    ? mTracker.queryFailed(now)
                    : mTracker.statusReceived(report.state(), report.sent(), now);
        }

        private void follow(Verdict verdict) {
            if (verdict == Verdict.ALIVE || !mWatched.remove(this)) {
                return;
            }
            mMetrics.counter("sequoia_exchanges_lost", "cause", verdict.name()).increment();
            Logger.warn("exchange {} with {} is ended: {}", mId, mAddress, verdict);
            mAbort.thenAccept(abort -> abort.accept(new ExchangeLostException(verdict)));
        }
    }
}
