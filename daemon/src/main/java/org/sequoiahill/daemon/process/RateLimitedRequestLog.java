package org.sequoiahill.daemon.process;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.direct.RequestLog;
import org.tinylog.Logger;

/**
 * Logs a line for each request, up to a limit per second, and records all requests as metrics.
 *
 * <p>Lines above the limit are dropped; the next line states how many. Requests that were not
 * answered have a limit of their own, so that a flood of answered requests does not hide them, and
 * so have truncated responses, which a flood of refused requests must not hide. These are warnings.
 */
final class RateLimitedRequestLog implements RequestLog {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String ANSWERED = "answered";

    /** Lines per second for answered requests, for truncated responses, and for all others. */
    static final int LINES_PER_SECOND = 40;

    private final MeterRegistry mRegistry;
    private final MonotonicClock mClock;
    private final Map<String, Timer> mTimers = new ConcurrentHashMap<>();
    private final Output mOutput;
    private final LineLimiter mAnsweredLimiter = new LineLimiter();
    private final LineLimiter mTruncatedLimiter = new LineLimiter();
    private final LineLimiter mOtherLimiter = new LineLimiter();

    private RateLimitedRequestLog(MeterRegistry registry, MonotonicClock clock, Output output) {
        mRegistry = registry;
        mClock = clock;
        mOutput = output;
    }

    /** Receives the lines. */
    @FunctionalInterface
    interface Output {
        void write(boolean isWarning, String line);
    }

    static RateLimitedRequestLog of(MeterRegistry registry, MonotonicClock clock) {
        return to(RateLimitedRequestLog::log, registry, clock);
    }

    static RateLimitedRequestLog to(Output output, MeterRegistry registry, MonotonicClock clock) {
        return new RateLimitedRequestLog(registry, clock, output);
    }

    private static void log(boolean isWarning, String line) {
        if (isWarning) {
            Logger.warn(line);
        } else {
            Logger.info(line);
        }
    }

    @Override
    public void requestCompleted(Entry entry) {
        mTimers.computeIfAbsent(entry.outcome() + "/" + entry.status(), key -> timer(entry))
                .record(entry.time());
        boolean isTruncated = isTruncated(entry);
        LineLimiter limiter = isTruncated ? mTruncatedLimiter : limiterOfWhole(entry);
        long droppedCount = limiter.tryAcquire(mClock.now());
        if (droppedCount < 0) {
            return;
        }
        ObjectNode event = MAPPER.createObjectNode();
        event.put("event", "request");
        event.put("request", entry.id());
        event.put("outcome", entry.outcome());
        event.put("status", entry.status());
        event.put("answered_by", entry.answeredBy());
        event.put("route", entry.route());
        event.put("organisation", entry.organisation());
        event.put("table", entry.tableNumber());
        event.put("state", entry.stateIndex());
        event.put("sendings", entry.attempts());
        if (!entry.traits().isEmpty()) {
            entry.traits().forEach(event.putArray("traits")::add);
        }
        event.put("queued_ms", entry.queued().toMillis());
        event.put("total_ms", entry.time().toMillis());
        if (droppedCount > 0) {
            event.put("left_out", droppedCount);
        }
        mOutput.write(isTruncated, event.toString());
    }

    /** Returns whether the caller received the beginning of a successful response only. */
    private static boolean isTruncated(Entry entry) {
        return !entry.outcome().equals(ANSWERED) && HttpStatus.isSuccess(entry.status());
    }

    private LineLimiter limiterOfWhole(Entry entry) {
        return entry.outcome().equals(ANSWERED) ? mAnsweredLimiter : mOtherLimiter;
    }

    private Timer timer(Entry entry) {
        return Timer.builder("sequoia.request")
                .tag("outcome", entry.outcome())
                .tag("status", String.valueOf(entry.status()))
                .publishPercentileHistogram(false)
                .serviceLevelObjectives(
                        Duration.ofMillis(50),
                        Duration.ofMillis(100),
                        Duration.ofMillis(200),
                        Duration.ofMillis(500),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(5))
                .register(mRegistry);
    }

    /** Limits the lines within one second. */
    private static final class LineLimiter {
        private Duration mSecondEndsAt = Duration.ZERO;
        private int mLineCount;
        private long mDroppedCount;

        /**
         * Returns how many lines were dropped before this one, or -1 if this one is dropped too.
         */
        synchronized long tryAcquire(Duration now) {
            if (now.compareTo(mSecondEndsAt) >= 0) {
                mSecondEndsAt = now.plusSeconds(1);
                mLineCount = 0;
            }
            if (mLineCount >= LINES_PER_SECOND) {
                mDroppedCount++;
                return -1;
            }
            mLineCount++;
            long droppedCount = mDroppedCount;
            mDroppedCount = 0;
            return droppedCount;
        }
    }
}
