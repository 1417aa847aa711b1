package org.sequoiahill.bench.push;

import java.time.Duration;
import org.sequoiahill.bench.admission.VirtualTime;

/** A VM of the simulated fleet: its links, and whether it is suspended. */
final class SimulatedVm {
    private final VirtualTime mTime;
    private final String mName;
    private final int mRegion;
    private final SharedLinks.Link mIn;
    private final SharedLinks.Link mOut;
    private Duration mSuspendedUntil = Duration.ZERO;

    SimulatedVm(VirtualTime time, String name, int region, double bitsPerSecond) {
        mTime = time;
        mName = name;
        mRegion = region;
        mIn = new SharedLinks.Link(bitsPerSecond);
        mOut = new SharedLinks.Link(bitsPerSecond);
    }

    String name() {
        return mName;
    }

    int region() {
        return mRegion;
    }

    SharedLinks.Link in() {
        return mIn;
    }

    SharedLinks.Link out() {
        return mOut;
    }

    /** Suspends the VM for a time. */
    void suspend(Duration duration) {
        mSuspendedUntil = mTime.now().plus(duration);
    }

    /** Runs a task now or, if the VM is suspended, once it resumes. */
    void whenRunning(Runnable task) {
        if (mTime.now().compareTo(mSuspendedUntil) < 0) {
            mTime.runAt(mSuspendedUntil, () -> whenRunning(task));
        } else {
            task.run();
        }
    }
}
