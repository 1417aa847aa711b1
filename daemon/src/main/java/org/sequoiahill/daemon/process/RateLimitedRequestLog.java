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
 * Writes a line for each request, within a rate, and counts all of them.
 *
 * <p>Lines over the rate are left out and counted; the count stands on the next line. Requests that
 * weren't answered have a rate of their own, so that a flood of answers doesn't hide them.
 */
final class RateLimitedRequestLog implements RequestLog {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String ANSWERED = "answered";

    /** Lines a second for answered requests, and apart from that for all others. */
    private static final int LINES_PER_SECOND = 40;

    private final MeterRegistry mRegistry;
    private final MonotonicClock mClock;
    private final Map<String, Timer> mTimers = new ConcurrentHashMap<>();
    private final Rate mAnswered = new Rate();
    private final Rate mOthers = new Rate();

    private RateLimitedRequestLog(MeterRegistry registry, MonotonicClock clock) {
        mRegistry = registry;
        mClock = clock;
    }

    static RateLimitedRequestLog of(MeterRegistry registry, MonotonicClock clock) {
        return new RateLimitedRequestLog(registry, clock);
    }

    @Override
    public void ended(Line line) {
        mTimers.computeIfAbsent(line.outcome() + "/" + line.status(), key -> timer(line))
                .record(line.time());
        Rate rate = line.outcome().equals(ANSWERED) ? mAnswered : mOthers;
        long leftOut = rate.take(mClock.now());
        if (leftOut < 0) {
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
        event.put("sendings", line.sendings());
        event.put("queued_ms", line.queued().toMillis());
        event.put("total_ms", line.time().toMillis());
        if (leftOut > 0) {
            event.put("left_out", leftOut);
        }
        Logger.info(event.toString());
    }

    private Timer timer(Line line) {
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

    /** Lines within one second. */
    private static final class Rate {
        private Duration mSecondEnds = Duration.ZERO;
        private int mTaken;
        private long mLeftOut;

        /** Returns how many lines were left out before this one, -1 where it is left out too. */
        synchronized long take(Duration now) {
            if (now.compareTo(mSecondEnds) >= 0) {
                mSecondEnds = now.plusSeconds(1);
                mTaken = 0;
            }
            if (mTaken >= LINES_PER_SECOND) {
                mLeftOut++;
                return -1;
            }
            mTaken++;
            long leftOut = mLeftOut;
            mLeftOut = 0;
            return leftOut;
        }
    }
}
