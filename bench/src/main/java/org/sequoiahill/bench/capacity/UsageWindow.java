package org.sequoiahill.bench.capacity;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.sequoiahill.bench.processes.Topology.Vm;

/** Measures the usage of a process over a time window. */
final class UsageWindow {
    /** Prefix of the counters of control bytes, sent and received. */
    static final String CONTROL_BYTES = "sequoia_control_bytes_total";

    private UsageWindow() {}

    /**
     * Measures for the length of the window and returns the usage.
     *
     * @param size value of the varied quantity, copied to the sample
     * @param pid id of the measured process
     * @param daemons number of daemons that share the process
     * @param vm VM of the daemon whose control bytes are read
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
        for (long remaining = window.toNanos();
                remaining > 0;
                remaining = end - System.nanoTime()) {
            LockSupport.parkNanos(remaining);
        }
    }
}
