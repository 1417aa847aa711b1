package org.sequoiahill.bench.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.sequoiahill.bench.load.LoadCounts.Verdict;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.ManagedProcess;
import org.sequoiahill.bench.processes.Topology.Vm;

/** The failures that the bench causes. */
final class FaultCases {
    /** Longer than every lease and election timeout. */
    private static final Duration FREEZE = Duration.ofSeconds(8);

    private static final Duration OUTAGE = Duration.ofSeconds(3);
    private static final Duration EXIT_BOUND = Duration.ofSeconds(60);

    /** A killed entry takes the answers that pass through it with it. */
    private static final Set<Verdict> THROUGH_DEAD_ENTRY = Set.of(Verdict.LOST, Verdict.CUT);

    private FaultCases() {}

    static List<FaultCase> all() {
        return List.of(
                new FaultCase("none", "no failure, only the push", Set.of(), d -> {}),
                new FaultCase(
                        "kill-agent", "kill -9 of an agent", Set.of(), d -> kill(d, agent(d))),
                new FaultCase(
                        "kill-engine",
                        "kill -9 of a model engine",
                        Set.of(),
                        d -> kill(d, agent(d) + "-stand-in")),
                new FaultCase(
                        "kill-ledger",
                        "kill -9 of the agent of the ledger",
                        Set.of(),
                        d -> kill(d, ledger(d))),
                new FaultCase(
                        "kill-entry",
                        "kill -9 of an entry that is no store",
                        THROUGH_DEAD_ENTRY,
                        d -> kill(d, entry(d))),
                new FaultCase(
                        "kill-stores",
                        "kill -9 of each store in turn",
                        THROUGH_DEAD_ENTRY,
                        FaultCases::killEachStore),
                new FaultCase(
                        "freeze-store",
                        "SIGSTOP of each store in turn for longer than its lease",
                        THROUGH_DEAD_ENTRY,
                        FaultCases::freezeEachStore),
                new FaultCase(
                        "wipe-stores",
                        "a wiped store, then another right after",
                        THROUGH_DEAD_ENTRY,
                        FaultCases::wipeTwoStores),
                new FaultCase(
                        "terminate-entry",
                        "SIGTERM of an entry",
                        Set.of(),
                        d -> terminate(d, entry(d))),
                new FaultCase(
                        "terminate-agent",
                        "SIGTERM of an agent",
                        Set.of(),
                        d -> terminate(d, agent(d))),
                new FaultCase(
                        "data-centre-out",
                        "a data centre taken out and brought back",
                        Set.of(),
                        FaultCases::takeOut));
    }

    private static String agent(Deployment deployment) {
        return deployment.topology().endpointVms(FaultExperiment.WRITER).get(0).name();
    }

    private static String ledger(Deployment deployment) {
        return deployment.topology().endpointVms(FaultExperiment.LEDGER).get(0).name();
    }

    private static String entry(Deployment deployment) {
        List<Vm> stores = deployment.topology().storeVms();
        return deployment.topology().entryVms().stream()
                .filter(vm -> !stores.contains(vm))
                .findFirst()
                .orElseThrow()
                .name();
    }

    private static void kill(Deployment deployment, String name) throws Exception {
        ManagedProcess process = deployment.process(name);
        process.kill();
        pause(OUTAGE);
        process.restart();
    }

    private static void terminate(Deployment deployment, String name) throws Exception {
        ManagedProcess process = deployment.process(name);
        process.terminate();
        process.awaitExit(EXIT_BOUND);
        pause(OUTAGE);
        process.restart();
    }

    private static void killEachStore(Deployment deployment) throws Exception {
        for (Vm store : deployment.topology().storeVms()) {
            kill(deployment, store.name());
            pause(OUTAGE);
        }
    }

    private static void freezeEachStore(Deployment deployment) throws Exception {
        for (Vm store : deployment.topology().storeVms()) {
            deployment.process(store.name()).freeze();
            pause(FREEZE);
            deployment.process(store.name()).resume();
            pause(OUTAGE);
        }
    }

    private static void wipeTwoStores(Deployment deployment) throws Exception {
        for (Vm store : deployment.topology().storeVms().subList(0, 2)) {
            ManagedProcess process = deployment.process(store.name());
            process.kill();
            delete(deployment.folder().resolve(store.name()));
            process.restart();
            pause(FREEZE);
        }
    }

    private static void takeOut(Deployment deployment) {
        List<Vm> entries = deployment.topology().entryVms();
        String dataCentre = entries.get(entries.size() - 1).dataCentre();
        deployment.setDataCentre(entries.get(0), dataCentre, "out");
        pause(FREEZE);
        deployment.setDataCentre(entries.get(0), dataCentre, "in");
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private static void pause(Duration time) {
        long end = System.nanoTime() + time.toNanos();
        for (long left = time.toNanos(); left > 0; left = end - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
