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

/** The cases of {@link FaultExperiment}. */
final class FaultCases {
    /** Longer than an election timeout (at most 3 s) and the lease of an announcement (4 s). */
    private static final Duration LONG_PAUSE = Duration.ofSeconds(8);

    private static final Duration SHORT_PAUSE = Duration.ofSeconds(3);
    private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(60);

    /** Verdicts of requests that pass through an entry while it is killed or frozen. */
    private static final Set<Verdict> ENTRY_FAILURE_VERDICTS = Set.of(Verdict.LOST, Verdict.CUT);

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
                        ENTRY_FAILURE_VERDICTS,
                        d -> kill(d, entry(d))),
                new FaultCase(
                        "kill-stores",
                        "kill -9 of each store in turn",
                        ENTRY_FAILURE_VERDICTS,
                        FaultCases::killEachStore),
                new FaultCase(
                        "freeze-store",
                        "SIGSTOP of each store in turn for longer than its lease",
                        ENTRY_FAILURE_VERDICTS,
                        FaultCases::freezeEachStore),
                new FaultCase(
                        "wipe-stores",
                        "kill -9 of two stores in turn, each with its data folder deleted",
                        ENTRY_FAILURE_VERDICTS,
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
                        "a data centre taken out of service and put back",
                        Set.of(),
                        FaultCases::takeDataCentreOut));
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
        pause(SHORT_PAUSE);
        process.restart();
    }

    private static void terminate(Deployment deployment, String name) throws Exception {
        ManagedProcess process = deployment.process(name);
        process.terminate();
        process.awaitExit(EXIT_TIMEOUT);
        pause(SHORT_PAUSE);
        process.restart();
    }

    private static void killEachStore(Deployment deployment) throws Exception {
        for (Vm store : deployment.topology().storeVms()) {
            kill(deployment, store.name());
            pause(SHORT_PAUSE);
        }
    }

    private static void freezeEachStore(Deployment deployment) throws Exception {
        for (Vm store : deployment.topology().storeVms()) {
            deployment.process(store.name()).freeze();
            pause(LONG_PAUSE);
            deployment.process(store.name()).resume();
            pause(SHORT_PAUSE);
        }
    }

    private static void wipeTwoStores(Deployment deployment) throws Exception {
        for (Vm store : deployment.topology().storeVms().subList(0, 2)) {
            ManagedProcess process = deployment.process(store.name());
            process.kill();
            delete(deployment.folder().resolve(store.name()));
            process.restart();
            pause(LONG_PAUSE);
        }
    }

    private static void takeDataCentreOut(Deployment deployment) {
        List<Vm> entries = deployment.topology().entryVms();
        String dataCentre = entries.get(entries.size() - 1).dataCentre();
        deployment.setDataCentre(entries.get(0), dataCentre, "out");
        pause(LONG_PAUSE);
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
