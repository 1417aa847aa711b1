package org.sequoiahill.bench.capacity;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.sequoiahill.bench.processes.Topology.Vm;

/** Measures what a process uses over a window of time. */
final class UsageWindow {
    /** Prefix of the counters of control bytes, sent and received. */
    static final String CONTROL_BYTES = "sequoia_control_bytes_total";

    private UsageWindow() {}

    /**
     * Returns the use over the window.
     *
     * @param pid process that is measured
     * @param daemons how many daemons share the process
     * @param vm daemon whose control bytes are read
     */
    static Sample measure(
            MetricsReader metrics, double size, long pid, int daemons, Vm vm, Duration window)
            throws Exception {
        Duration cpuBefore = ProcessUsage.cpuTime(pid);
        double bytesBefore = metrics.sumOf(vm, CONTROL_BYTES);
        long start = System.nanoTime();
        waitFor(window);
        double seconds = (System.nanoTime() - start) / 1e9;
        double cpu = ProcessUsage.cpuTime(pid).minus(cpuBefore).toNanos() / 1e9;
        double bytes = metrics.sumOf(vm, CONTROL_BYTES) - bytesBefore;
        double resident = daemons == 1 ? ProcessUsage.residentBytes(pid) : 0;
        return new Sample(size, cpu / seconds / daemons, bytes / seconds, resident);
    }

    static void waitFor(Duration window) {
        long end = System.nanoTime() + window.toNanos();
        for (long left = window.toNanos(); left > 0; left = end - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
