package org.sequoiahill.bench.stores;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.sequoiahill.bench.Experiment;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.cli.OperatorClient;

/** Measures commit latency, recovery time and the idle cost of the stores. */
@Parameters(
        commandDescription = "commit latency, recovery time and idle cost of the replicated logs")
public final class LogExperiment implements Experiment {
    private static final int STORES = 3;

    /** Number of changes before the first recovery. */
    private static final int FIRST_CHANGES = 300;

    private static final String WRITTEN_BYTES_KEY = "wchar:";

    @Parameter(
            names = "--changes",
            description = "total number of changes before the second recovery")
    private int mChanges = 10_000;

    @Parameter(names = "--idle-seconds", description = "length of the idle measurement in seconds")
    private int mIdleSeconds = 30;

    @Parameter(names = "--prefix", description = "first two octets of the addresses used")
    private String mPrefix = "127.20";

    private final PrintStream mOut = System.out;

    @Override
    public boolean run() throws Exception {
        Path folder = Files.createTempDirectory("log");
        try (StoreFleet fleet = StoreFleet.start(folder, mPrefix, STORES, settings -> {})) {
            fleet.change();
            measureIdle(fleet);
            measureCommits(fleet, FIRST_CHANGES - 1);
            measureRecovery(fleet, FIRST_CHANGES);
            measureCommits(fleet, mChanges - FIRST_CHANGES);
            measureRecovery(fleet, mChanges);
        }
        return true;
    }

    private void measureIdle(StoreFleet fleet) throws Exception {
        long[] cpu = new long[STORES];
        long[] bytes = new long[STORES];
        for (int i = 0; i < STORES; i++) {
            cpu[i] = cpuNanos(fleet, i);
            bytes[i] = writtenBytes(fleet, i);
        }
        LockSupport.parkNanos(Duration.ofSeconds(mIdleSeconds).toNanos());
        Vm leader = fleet.awaitLeader();
        for (int i = 0; i < STORES; i++) {
            Vm store = fleet.stores().get(i);
            double cores =
                    (cpuNanos(fleet, i) - cpu[i])
                            / (double) Duration.ofSeconds(mIdleSeconds).toNanos();
            mOut.printf(
                    "idle %s%s: %.4f cores, %.0f bytes/s written to sockets and files%n",
                    store.name(),
                    store.equals(leader) ? " (leads config)" : "",
                    cores,
                    (writtenBytes(fleet, i) - bytes[i]) / (double) mIdleSeconds);
        }
    }

    private void measureCommits(StoreFleet fleet, int changes) throws Exception {
        Histogram micros = new Histogram(TimeUnit.MINUTES.toMicros(1), 3);
        int notAccepted = 0;
        Vm leader = fleet.awaitLeader();
        try (OperatorClient client = fleet.deployment().operators(leader)) {
            for (int i = 0; i < changes; i++) {
                long start = System.nanoTime();
                if (fleet.changeAt(client)) {
                    micros.recordValue((System.nanoTime() - start) / 1_000);
                } else {
                    notAccepted++;
                }
            }
        }
        mOut.printf(
                "%d sequential changes at the leader: p50 %.1f ms, p95 %.1f ms, p99 %.1f ms,"
                        + " not accepted %d%n",
                changes,
                micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(95) / 1e3,
                micros.getValueAtPercentile(99) / 1e3,
                notAccepted);
    }

    private void measureRecovery(StoreFleet fleet, int changes) throws Exception {
        for (Vm store : fleet.stores()) {
            fleet.deployment().process(store.name()).kill();
        }
        long start = System.nanoTime();
        for (Vm store : fleet.stores()) {
            fleet.deployment().process(store.name()).restart();
        }
        fleet.change();
        mOut.printf(
                "all stores killed after %d changes: %d ms to the next accepted change%n",
                changes, Duration.ofNanos(System.nanoTime() - start).toMillis());
    }

    private static long cpuNanos(StoreFleet fleet, int store) {
        long pid = fleet.deployment().process(fleet.stores().get(store).name()).pid();
        return ProcessHandle.of(pid)
                .flatMap(handle -> handle.info().totalCpuDuration())
                .orElse(Duration.ZERO)
                .toNanos();
    }

    /** Returns the bytes that a store's process has written to sockets and files. */
    private static long writtenBytes(StoreFleet fleet, int store) throws IOException {
        long pid = fleet.deployment().process(fleet.stores().get(store).name()).pid();
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/io"))) {
            if (line.startsWith(WRITTEN_BYTES_KEY)) {
                return Long.parseLong(line.substring(WRITTEN_BYTES_KEY.length()).strip());
            }
        }
        throw new IOException("process " + pid + " does not report written bytes");
    }
}
