package org.sequoiahill.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/** CPU time and resident memory of a process on this VM. */
public final class ProcessUsage {
    private static final long KIBIBYTE = 1024;
    private static final String RESIDENT_KEY = "VmRSS:";

    private ProcessUsage() {}

    /**
     * Returns the CPU time that a process has used.
     *
     * @throws IllegalStateException if the process has ended
     */
    public static Duration cpuTime(long pid) {
        return ProcessHandle.of(pid)
                .flatMap(handle -> handle.info().totalCpuDuration())
                .orElseThrow(() -> new IllegalStateException("process " + pid + " has ended"));
    }

    /** Returns the resident memory of a process, in bytes. */
    public static long residentBytes(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith(RESIDENT_KEY)) {
                // The kernel labels the value "kB" but counts in units of 1,024 bytes.
                String kibibytes = line.substring(RESIDENT_KEY.length()).strip().split(" ", 2)[0];
                return Long.parseLong(kibibytes) * KIBIBYTE;
            }
        }
        throw new IOException("no resident memory reported for process " + pid);
    }
}
