package org.sequoiahill.bench.claims;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.sequoiahill.bench.Experiment;
import org.sequoiahill.bench.processes.Await;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.daemon.process.claims.ClaimClient;
import org.sequoiahill.daemon.process.claims.ClaimLimits;
import org.sequoiahill.daemon.process.claims.ClaimRegistry;
import org.sequoiahill.daemon.process.claims.ClaimsStateMachine;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ControlTraffic;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ThriftBytes;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.ClaimCommand;
import org.sequoiahill.protocol.gen.ClaimKey;
import org.sequoiahill.protocol.gen.ClaimRequest;
import org.sequoiahill.protocol.gen.ClaimStatus;
import org.sequoiahill.protocol.gen.CompleteRequest;
import org.sequoiahill.protocol.gen.Outcome;

/**
 * Measures the rate and latency of claims at real stores, and the memory and time that claims and
 * outcomes take in one state machine.
 */
@Parameters(
        commandDescription =
                "rate and latency of claims by number of callers, and memory of claims")
public final class ClaimsExperiment implements Experiment {
    private static final int DIGEST_BYTES = 32;
    private static final int OUTCOME_BYTES = 200;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

    @Parameter(names = "--callers", description = "numbers of concurrent callers, measured in turn")
    private List<Integer> mCallers = List.of(1, 4, 16);

    @Parameter(
            names = "--claims",
            description = "number of claims measured with each number of callers")
    private int mClaims = 500;

    @Parameter(names = "--recorded", description = "number of claims recorded to measure memory")
    private int mRecorded = 100_000;

    @Parameter(names = "--prefix", description = "first two octets of the addresses used")
    private String mPrefix = "127.21";

    private final ObjectNode mJson = JsonMapper.builder().build().createObjectNode();
    private final Identity mIdentity = Identity.of("bench", "ne-a", 1);

    @Override
    public boolean run() throws Exception {
        measureMemory();
        measureRate();
        System.out.println(mJson);
        return true;
    }

    private void measureMemory() {
        ClaimLimits limits =
                new ClaimLimits(
                        mRecorded,
                        1L << 40,
                        OUTCOME_BYTES,
                        Duration.ofDays(1),
                        2 * mRecorded,
                        Duration.ofDays(7));
        ClaimsStateMachine machine = ClaimsStateMachine.of(limits);
        long before = usedBytes();
        long start = System.nanoTime();
        for (int i = 0; i < mRecorded; i++) {
            machine.apply(2L * i, ThriftBytes.write(command().setClaim(claimOf(i))));
            machine.apply(2L * i + 1, ThriftBytes.write(command().setComplete(outcomeOf(i))));
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        long recordedBytes = usedBytes() - before;
        // The records are at their limit, so each further one expires the oldest.
        for (int i = mRecorded; i < 2 * mRecorded; i++) {
            machine.apply(2L * i, ThriftBytes.write(command().setClaim(claimOf(i))));
            machine.apply(2L * i + 1, ThriftBytes.write(command().setComplete(outcomeOf(i))));
        }
        long expiredBytes = usedBytes() - before - recordedBytes;
        double toMebibytesPerMillion = 1e6 / mRecorded / (1 << 20);
        mJson.put("recorded", machine.size());
        mJson.put("mebibytes per 1,000,000 recorded", recordedBytes * toMebibytesPerMillion);
        mJson.put("mebibytes per 1,000,000 expired", expiredBytes * toMebibytesPerMillion);
        mJson.put("applied commands a second, one thread", 2 * mRecorded / seconds);
        System.out.printf(
                "%,d recorded claims: %.0f MiB per 1,000,000; expired keys: %.0f MiB per"
                        + " 1,000,000%n",
                machine.size(),
                recordedBytes * toMebibytesPerMillion,
                expiredBytes * toMebibytesPerMillion);
    }

    private void measureRate() throws Exception {
        Path folder = Files.createTempDirectory("claims");
        List<DataCentre> dataCentres =
                List.of(
                        new DataCentre("ne-a", 1, List.of()),
                        new DataCentre("ma-a", 1, List.of()),
                        new DataCentre("gl-a", 1, List.of()));
        Topology topology = new Topology(mPrefix, dataCentres, 3);
        ExecutorService executor = Executors.newFixedThreadPool(64);
        try (Deployment deployment = Deployment.start(folder, topology, settings -> {});
                ControlClient control =
                        ControlClient.on(executor, ControlTraffic.on(new SimpleMeterRegistry()))) {
            List<PeerVm> stores = topology.storeVms().stream().map(ClaimsExperiment::peer).toList();
            ClaimClient claims = ClaimClient.of(mIdentity, control, stores);
            Await.until(
                    deployment.topology().stores() + " stores",
                    START_TIMEOUT,
                    () -> claims.lookUp(claimOf(0)).join().getStatus() != ClaimStatus.UNAVAILABLE);
            System.out.printf(
                    "%8s %10s %10s %10s %12s%n",
                    "callers", "p50 ms", "p95 ms", "p99 ms", "claims per s");
            int first = 0;
            for (int callers : mCallers) {
                measureRate(claims, callers, first);
                first += mClaims;
            }
        } finally {
            executor.shutdownNow();
        }
    }

    private void measureRate(ClaimRegistry claims, int callers, int first) {
        Histogram latency = new ConcurrentHistogram(3);
        AtomicInteger next = new AtomicInteger(first);
        long start = System.nanoTime();
        List<CompletableFuture<Void>> running = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            running.add(claimNext(claims, next, first + mClaims, latency));
        }
        running.forEach(CompletableFuture::join);
        double seconds = (System.nanoTime() - start) / 1e9;
        double p50 = latency.getValueAtPercentile(50) / 1e3;
        double p95 = latency.getValueAtPercentile(95) / 1e3;
        double p99 = latency.getValueAtPercentile(99) / 1e3;
        double rate = latency.getTotalCount() / seconds;
        System.out.printf("%8d %10.2f %10.2f %10.2f %12.1f%n", callers, p50, p95, p99, rate);
        mJson.putObject("callers " + callers)
                .put("p50", p50)
                .put("p95", p95)
                .put("p99", p99)
                .put("claims a second", rate);
    }

    private CompletableFuture<Void> claimNext(
            ClaimRegistry claims, AtomicInteger next, int end, Histogram latency) {
        int number = next.getAndIncrement();
        if (number >= end) {
            return CompletableFuture.completedFuture(null);
        }
        long start = System.nanoTime();
        return claims.claim(claimOf(number))
                .thenCompose(
                        reply -> {
                            if (reply.getStatus() != ClaimStatus.CLAIMED) {
                                throw new IllegalStateException(
                                        "a new claim was answered with " + reply.getStatus());
                            }
                            latency.recordValue((System.nanoTime() - start) / 1_000);
                            return claimNext(claims, next, end, latency);
                        });
    }

    private static ClaimCommand command() {
        return new ClaimCommand(0);
    }

    private ClaimRequest claimOf(int number) {
        byte[] digest = ByteBuffer.allocate(DIGEST_BYTES).putInt(number).array();
        return new ClaimRequest(
                mIdentity.sender(), keyOf(number), ByteBuffer.wrap(digest), number, "agent-1", 1);
    }

    private CompleteRequest outcomeOf(int number) {
        Outcome outcome = new Outcome(200, "application/json", ByteBuffer.allocate(OUTCOME_BYTES));
        return new CompleteRequest(mIdentity.sender(), keyOf(number), number, true)
                .setOutcome(outcome);
    }

    private static ClaimKey keyOf(int number) {
        return new ClaimKey(
                "dentists", "order-desk", "/orders", "3f0c1e52-0000-4000-8000-" + number);
    }

    private static PeerVm peer(Vm vm) {
        return new PeerVm(
                vm.name(),
                vm.dataCentre(),
                HostPort.parse(vm.control()),
                HostPort.parse(vm.data()));
    }

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
