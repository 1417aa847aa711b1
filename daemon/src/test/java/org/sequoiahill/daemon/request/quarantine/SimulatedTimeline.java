package org.sequoiahill.daemon.request.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.sequoiahill.daemon.process.time.ManualClock;

/** Runs actions in the order of their times, and advances a clock to them. */
final class SimulatedTimeline {
    private final ManualClock mClock = new ManualClock();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
    private long mNextNumber;

    private record Event(Duration at, long number, Runnable action) {}

    ManualClock clock() {
        return mClock;
    }

    Duration now() {
        return mClock.now();
    }

    /** Adds an action that runs after a delay from now. */
    void after(Duration delay, Runnable action) {
        mEvents.add(new Event(mClock.now().plus(delay), mNextNumber++, action));
    }

    /** Lets time pass, and runs all actions that are due in it. */
    void run(Duration time) {
        Duration end = mClock.now().plus(time);
        while (!mEvents.isEmpty() && mEvents.peek().at().compareTo(end) <= 0) {
            Event event = mEvents.poll();
            mClock.advance(event.at().minus(mClock.now()));
            event.action().run();
        }
        mClock.advance(end.minus(mClock.now()));
    }
}
