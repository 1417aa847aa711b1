package org.sequoiahill.bench.faults;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.sequoiahill.bench.Experiment;
import org.sequoiahill.bench.load.LoadCounts;
import org.sequoiahill.bench.load.LoadCounts.Verdict;
import org.sequoiahill.bench.load.LoadGenerator;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.protocol.weights.Manifest;

/**
 * Runs the fault cases: each starts real processes under load, pushes a new version, causes a
 * failure, and checks the verdicts of all calls.
 */
@Parameters(commandDescription = "failures of real processes under load and a push")
public final class FaultExperiment implements Experiment {
    static final String WRITER = "writer";
    static final String LEDGER = "ledger";

    private static final Duration SERVING_TIMEOUT = Duration.ofMinutes(2);
    private static final int WEIGHT_BYTES = 4 << 20;
    private static final int CHUNK_BYTES = 64 << 10;
    private static final int CAPACITY = 8;
    private static final long SEED = 11;

    /** Verdicts that fail a case unless the case excuses them. */
    private static final Set<Verdict> FORBIDDEN =
            EnumSet.of(
                    Verdict.LOST,
                    Verdict.CUT,
                    Verdict.MIXED,
                    Verdict.CROSSED,
                    Verdict.DOUBLED,
                    Verdict.FALSE_NOT_RUN);

    @Parameter(names = "--case", description = "name of a case, or all")
    private String mCase = "all";

    @Parameter(names = "--prefix", description = "first two octets of the addresses used")
    private String mPrefix = "127.41";

    @Parameter(names = "--workers", description = "number of concurrent requests")
    private int mWorkers = 12;

    private final PrintStream mOut = System.out;

    @Override
    public boolean run() throws Exception {
        List<FaultCase> cases =
                FaultCases.all().stream()
                        .filter(c -> mCase.equals("all") || c.name().equals(mCase))
                        .toList();
        if (cases.isEmpty()) {
            mOut.println(
                    "no such case; the cases are "
                            + FaultCases.all().stream()
                                    .map(FaultCase::name)
                                    .collect(Collectors.joining(", ")));
            return false;
        }
        List<String> failedCases = new ArrayList<>();
        for (FaultCase faultCase : cases) {
            if (!runCase(faultCase)) {
                failedCases.add(faultCase.name());
            }
        }
        mOut.println(failedCases.isEmpty() ? "all cases held" : "broken: " + failedCases);
        return failedCases.isEmpty();
    }

    private boolean runCase(FaultCase faultCase) throws Exception {
        Path folder = Files.createTempDirectory("faults-" + faultCase.name());
        Topology topology = topology();
        try (Deployment deployment = Deployment.start(folder, topology, settings -> {})) {
            Manifest first = deployment.publish(WRITER, "v1", WEIGHT_BYTES, CHUNK_BYTES, SEED);
            Manifest second = deployment.publish(WRITER, "v2", WEIGHT_BYTES, CHUNK_BYTES, SEED + 1);
            prepare(deployment, first);
            LoadGenerator load = startLoad(topology, first, second);
            deployment.apply(WRITER, deployment.modelDocument(WRITER, second));
            faultCase.injector().inject(deployment);
            int endpoints = topology.endpointVms(WRITER).size();
            deployment.awaitServing(WRITER, second.digest(), endpoints, SERVING_TIMEOUT);
            LoadCounts counts = load.stop();
            return report(faultCase, counts);
        } catch (IllegalStateException e) {
            mOut.printf("%-16s BROKEN: %s; see %s%n", faultCase.name(), e.getMessage(), folder);
            return false;
        }
    }

    private static void prepare(Deployment deployment, Manifest first) throws IOException {
        deployment.apply(WRITER, deployment.modelDocument(WRITER, first));
        deployment.apply(LEDGER, deployment.ledgerDocument(LEDGER));
        int writers = deployment.topology().endpointVms(WRITER).size();
        deployment.awaitServing(WRITER, first.digest(), writers, SERVING_TIMEOUT);
        deployment.awaitServing(LEDGER, "", 1, SERVING_TIMEOUT);
    }

    private boolean report(FaultCase faultCase, LoadCounts counts) {
        boolean hasOnlyAllowedVerdicts =
                FORBIDDEN.stream()
                        .filter(verdict -> !faultCase.excused().contains(verdict))
                        .allMatch(verdict -> counts.of(verdict) == 0);
        boolean hasAnswers = counts.of(Verdict.ANSWERED) > 0;
        mOut.printf(
                "%-16s %s %s%n",
                faultCase.name(),
                hasOnlyAllowedVerdicts && hasAnswers ? "held" : "BROKEN",
                counts.toJson());
        return hasOnlyAllowedVerdicts && hasAnswers;
    }

    private LoadGenerator startLoad(Topology topology, Manifest first, Manifest second) {
        String entries =
                topology.entryVms().stream().map(Vm::data).collect(Collectors.joining(","));
        return LoadGenerator.start(
                "--entries",
                entries,
                "--service",
                WRITER,
                "--ledger",
                LEDGER,
                "--ledger-admin",
                topology.endpointVms(LEDGER).get(0).standIn(),
                "--token",
                Deployment.CALLER_TOKEN,
                "--digests",
                first.digest() + "," + second.digest(),
                "--workers",
                Integer.toString(mWorkers));
    }

    private Topology topology() {
        Endpoints checking = new Endpoints(WRITER, Kind.ENGINE_CHECKING_FENCING, 2, CAPACITY);
        Endpoints notChecking = new Endpoints(WRITER, Kind.ENGINE, 2, CAPACITY);
        Endpoints ledger = new Endpoints(LEDGER, Kind.LEDGER, 1, CAPACITY);
        return new Topology(
                mPrefix,
                List.of(
                        new DataCentre("ne-a", 2, List.of(checking, ledger)),
                        new DataCentre("ma-a", 2, List.of(notChecking)),
                        new DataCentre("gl-a", 2, List.of(checking))),
                3);
    }
}
