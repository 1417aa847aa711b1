package org.sequoiahill.daemon.request.gate;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What an engine says of its load beside what the gate knows: an old report counts for less.
 *
 * <p>Not safe for several threads; the gate guards it.
 */
public final class EngineLoad {
    /** Age from which a report counts for nothing. */
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
     * A report.
     *
     * @param running requests that the engine works on
     * @param waiting requests that it has taken and does not work on
     * @param madeAt monotonic time at which the report was true
     */
    public record Report(int running, int waiting, Duration asOf) {}

    /** Notes the requests that the gate has let in and that have not ended. */
    public void sampleOwn(Duration now, int ownRunning) {
        mSamples.addLast(new Sample(now, ownRunning));
        if (mSamples.size() > MAX_SAMPLES) {
            mSamples.removeFirst();
        }
    }

    /** Takes a report; one older than the last is dropped. */
    public void update(Report report) {
        if (report.asOf().compareTo(mReport.asOf()) < 0) {
            return;
        }
        mReport = report;
        mOwnAtReport = maxOwnAround(report.asOf());
    }

    /**
     * Returns the requests by which the limit is to be lowered: those at the engine that the gate
     * does not know of, or those that it lets wait, whichever are more, less with the report's age.
     */
    public int excess(Duration now) {
        Duration age = now.minus(mReport.asOf());
        if (age.compareTo(MAX_AGE) >= 0) {
            return 0;
        }
        int unknown = mReport.running() + mReport.waiting() - mOwnAtReport;
        double weight = 1 - (double) age.toNanos() / MAX_AGE.toNanos();
        return (int) Math.ceil(Math.max(0, Math.max(unknown, mReport.waiting())) * weight);
    }

    /**
     * Returns the most that the gate held about that time, so that lag is never taken as excess.
     */
    private int maxOwnAround(Duration time) {
        int most = 0;
        int before = 0;
        for (Sample sample : mSamples) {
            if (sample.time().compareTo(time) <= 0) {
                before = sample.running();
            } else {
                most = Math.max(most, sample.running());
            }
        }
        return Math.max(before, most);
    }

    private record Sample(Duration time, int running) {}
}
