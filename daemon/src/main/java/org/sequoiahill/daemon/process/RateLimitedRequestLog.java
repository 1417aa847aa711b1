package org.sequoiahill.daemon.process;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.direct.RequestLog;
import org.tinylog.Logger;

/**
 * Logs a line for each request, up to a limit per second, and records all requests as metrics.
 *
 * <p>Lines above the limit are dropped; the next line states how many. Requests that were not
 * answered have a limit of their own, so that a flood of answered requests does not hide them.
 */
final class RateLimitedRequestLog implements RequestLog {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String ANSWERED = "answered";

    /** Lines per second for answered requests, and separately for all others. */
    private static final int LINES_PER_SECOND = 40;

    private final MeterRegistry mRegistry;
    private final MonotonicClock mClock;
    private final Map<String, Timer> mTimers = new ConcurrentHashMap<>();
    private final LineLimiter mAnsweredLimiter = new LineLimiter();
    private final LineLimiter mOtherLimiter = new LineLimiter();

    private RateLimitedRequestLog(MeterRegistry registry, MonotonicClock clock) {
        mRegistry = registry;
        mClock = clock;
    }

    static RateLimitedRequestLog of(MeterRegistry registry, MonotonicClock clock) {
        return new RateLimitedRequestLog(registry, clock);
    }

    @Override
    public void requestCompleted(Entry line) {
        mTimers.computeIfAbsent(line.outcome() + "/" + line.status(), key -> timer(line))
                .record(line.time());
        LineLimiter limiter = line.outcome().equals(ANSWERED) ? mAnsweredLimiter : mOtherLimiter;
        long droppedCount = limiter.tryAcquire(mClock.now());
        if (droppedCount < 0) {
            return;
        }
        ObjectNode event = MAPPER.createObjectNode();
        event.put("event", "request");
        event.put("request", line.id());
        event.put("outcome", line.outcome());
        event.put("status", line.status());
        event.put("answered_by", line.answeredBy());
        event.put("route", line.route());
        event.put("organisation", line.organisation());
        event.put("table", line.tableNumber());
        event.put("state", line.stateIndex());
        event.put("sendings", line.attempts());
        event.put("queued_ms", line.queued().toMillis());
        event.put("total_ms", line.time().toMillis());
        if (droppedCount > 0) {
            event.put("left_out", droppedCount);
        }
        Logger.info(event.toString());
    }

    private Timer timer(Entry line) {
        return Timer.builder("sequoia.request")
                .tag("outcome", line.outcome())
                .tag("status", String.valueOf(line.status()))
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
