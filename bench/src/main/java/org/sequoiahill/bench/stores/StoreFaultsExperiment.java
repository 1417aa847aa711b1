package org.sequoiahill.bench.stores;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;
import org.sequoiahill.bench.Experiment;
import org.sequoiahill.bench.processes.ManagedProcess;
import org.sequoiahill.bench.processes.Topology.Vm;

/**
 * Kills and freezes real stores and deletes their data while changes are made, and checks that
 * every store then has the last accepted change.
 */
@Parameters(
        commandDescription = "kill and freeze stores and delete their data while changes are made")
public final class StoreFaultsExperiment implements Experiment {
    private static final int STORES = 3;

    /**
     * Number of changes before each store is killed, the same number while it is down, and the same
     * number while the leader is frozen. The check of lost disks makes one change while a store is
     * down.
     */
    private static final int CHANGES_PER_PHASE = 10;

    @Parameter(
            names = "--changes",
            description = "total number of changes while the three stores are killed in turn")
    private int mChanges = 300;

    @Parameter(
            names = "--freeze-seconds",
            description = "time in seconds for which the leader is frozen")
    private int mFreezeSeconds = 8;

    @Parameter(names = "--prefix", description = "first two octets of the addresses used")
    private String mPrefix = "127.20";

    private final PrintStream mOut = System.out;

    @Override
    public boolean run() throws Exception {
        Path folder = Files.createTempDirectory("stores");
        mOut.println("files in " + folder);
        try (StoreFleet fleet = StoreFleet.start(folder, mPrefix, STORES, settings -> {})) {
            fleet.change();
            return runCheck("kill -9 of each store in turn", () -> killEachStore(fleet))
                    && runCheck("freeze of the leader beyond its lease", () -> freezeLeader(fleet))
                    && runCheck("loss of two disks, one after the other", () -> loseDisks(fleet));
        }
    }

    /**
     * Runs one check and prints whether the guarantees were kept: changes are accepted during the
     * fault, every store has the last one afterwards, and a frozen leader is replaced.
     */
    private boolean runCheck(String name, Callable<Boolean> fault) throws Exception {
        long start = System.nanoTime();
        boolean isPassed = fault.call();
        Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
        mOut.printf(
                "%-45s guarantees %s in %d ms%n",
                name, isPassed ? "kept" : "BROKEN", elapsed.toMillis());
        return isPassed;
    }

    private boolean killEachStore(StoreFleet fleet) throws Exception {
        int changesPerStore = mChanges / STORES;
        for (Vm store : fleet.stores()) {
            ManagedProcess process = fleet.deployment().process(store.name());
            for (int i = 0; i < changesPerStore; i++) {
                if (i == CHANGES_PER_PHASE) {
                    process.kill();
                } else if (i == 2 * CHANGES_PER_PHASE) {
                    process.restart();
                }
                fleet.change();
            }
            fleet.awaitLastChangeAt(store);
        }
        return awaitLastChangeAtAll(fleet);
    }

    private boolean freezeLeader(StoreFleet fleet) throws Exception {
        Vm leader = fleet.awaitLeader();
        ManagedProcess process = fleet.deployment().process(leader.name());
        Vm other = anyStoreExcept(fleet, leader);
        process.freeze();
        try {
            LockSupport.parkNanos(Duration.ofSeconds(mFreezeSeconds).toNanos());
            try (var client = fleet.deployment().operators(other)) {
                for (int i = 0; i < CHANGES_PER_PHASE; i++) {
                    if (!fleet.changeAt(client)) {
                        mOut.println("a change was not accepted while the leader was frozen");
                        return false;
                    }
                }
            }
        } finally {
            process.resume();
        }
        fleet.change();
        fleet.awaitLastChangeAt(leader);
        boolean isReplaced = !fleet.awaitLeader().name().equals(leader.name());
        return isReplaced && awaitLastChangeAtAll(fleet);
    }

    private boolean loseDisks(StoreFleet fleet) throws Exception {
        Vm first = fleet.awaitLeader();
        Vm second = anyStoreExcept(fleet, first);
        loseDisk(fleet, first, second);
        loseDisk(fleet, second, first);
        return awaitLastChangeAtAll(fleet);
    }

    private void loseDisk(StoreFleet fleet, Vm failed, Vm observer) throws Exception {
        long incarnation = fleet.incarnationOf(failed, observer);
        fleet.loseDisk(failed);
        fleet.change();
        fleet.deployment().process(failed.name()).restart();
        fleet.awaitVoter(failed, observer, incarnation);
        fleet.change();
    }

    /** Returns true once every store has the last accepted change; throws if one is too late. */
    private static boolean awaitLastChangeAtAll(StoreFleet fleet) {
        fleet.stores().forEach(fleet::awaitLastChangeAt);
        return true;
    }

    private static Vm anyStoreExcept(StoreFleet fleet, Vm vm) {
        return fleet.stores().stream().filter(store -> !store.equals(vm)).findFirst().orElseThrow();
    }
}
