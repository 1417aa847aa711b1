package org.sequoiahill.daemon.request.gate;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Compares an engine's load reports with the gate's own count of requests, to detect load from
 * other sources. The weight of a report decreases with its age.
 *
 * <p>Not thread-safe; guarded by the gate's lock.
 */
public final class EngineLoad {
    /** Age from which a report is ignored. */
    private static final Duration MAX_AGE = Duration.ofSeconds(2);

    private static final int MAX_SAMPLES = 16;

    private final Deque<Sample> mSamples = new ArrayDeque<>();
    private Report mReport = new Report(0, 0, Duration.ZERO);
    private int mOwnAtReport;

    private EngineLoad() {}

    /** Returns the load of an engine that has not reported. */
    public static EngineLoad unknown() {
        return new EngineLoad();
    }

    /**
     * A load report of an engine.
     *
     * @param running number of requests that the engine processes
     * @param waiting number of requests that the engine has queued
     * @param asOf monotonic time to which the report refers
     */
    public record Report(int running, int waiting, Duration asOf) {}

    /** Records the number of requests that the gate has admitted and that have not ended. */
    public void sampleOwn(Duration now, int ownRunning) {
        mSamples.addLast(new Sample(now, ownRunning));
        if (mSamples.size() > MAX_SAMPLES) {
            mSamples.removeFirst();
        }
    }

    /** Replaces the last report, unless the new one is older. */
    public void update(Report report) {
        if (report.asOf().compareTo(mReport.asOf()) < 0) {
            return;
        }
        mReport = report;
        mOwnAtReport = maxOwnAround(report.asOf());
    }

    /**
     * Returns the number by which to lower the limit: the greater of the engine's requests that did
     * not come through the gate and its queued requests, weighted down by the report's age.
     */
    public int excess(Duration now) {
        Duration age = now.minus(mReport.asOf());
        if (age.compareTo(MAX_AGE) >= 0) {
            return 0;
        }
        int othersRunning = mReport.running() + mReport.waiting() - mOwnAtReport;
        double weight = 1 - (double) age.toNanos() / MAX_AGE.toNanos();
        return (int) Math.ceil(Math.max(0, Math.max(othersRunning, mReport.waiting())) * weight);
    }

    /**
     * Returns the maximum number of the gate's requests since the last sample at or before {@code
     * time}, so that a delayed report is never mistaken for load from other sources.
     */
    private int maxOwnAround(Duration time) {
        int maxAfter = 0;
        int before = 0;
        for (Sample sample : mSamples) {
            if (sample.time().compareTo(time) <= 0) {
                before = sample.running();
            } else {
                maxAfter = Math.max(maxAfter, sample.running());
            }
        }
        return Math.max(before, maxAfter);
    }

    private record Sample(Duration time, int running) {}
}
