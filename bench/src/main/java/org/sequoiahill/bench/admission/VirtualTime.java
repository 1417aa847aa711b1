package org.sequoiahill.bench.admission;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.sequoiahill.daemon.process.time.DelayedExecutor;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/** A discrete-event clock: it advances straight to the next task, without waiting. */
public final class VirtualTime implements MonotonicClock, DelayedExecutor {
    private final PriorityQueue<Task> mTasks = new PriorityQueue<>(Task.ORDER);
    private Duration mNow = Duration.ZERO;
    private long mNextNumber;

    private record Task(Duration at, long number, Runnable work) {
        static final Comparator<Task> ORDER =
                Comparator.comparing(Task::at).thenComparingLong(Task::number);
    }

    @Override
    public Duration now() {
        return mNow;
    }

    @Override
    public void runAfter(Duration delay, Runnable task) {
        runAt(mNow.plus(delay), task);
    }

    /**
     * Schedules a task for a time, or for now if that time has passed; tasks of the same time run
     * in the order of scheduling.
     */
    public void runAt(Duration at, Runnable task) {
        mTasks.add(new Task(at.compareTo(mNow) < 0 ? mNow : at, mNextNumber++, task));
    }

    /** Runs all tasks that are due before {@code end} and sets the clock to it. */
    public void runUntil(Duration end) {
        while (!mTasks.isEmpty() && mTasks.peek().at().compareTo(end) < 0) {
            Task task = mTasks.poll();
            mNow = task.at();
            task.work().run();
        }
        mNow = end;
    }
}
