package org.sequoiahill.bench.drain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sequoiahill.bench.load.LoadCounts;
import org.sequoiahill.bench.load.LoadCounts.Verdict;
import org.sequoiahill.bench.load.LoadGenerator;
import org.sequoiahill.bench.processes.Await;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.ManagedProcess;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.cli.OperatorClient;
import org.sequoiahill.protocol.weights.Manifest;

/**
 * Drains an agent, an entry and a data centre under load and checks that no call is lost or cut.
 * Also kills an agent and checks that this interrupts no more calls than the agent processes at
 * once.
 */
class DrainTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final Topology TOPOLOGY =
            new Topology(
                    "127.23",
                    List.of(
                            new DataCentre(
                                    "ne-a", 2, List.of(new Endpoints("writer", Kind.ENGINE, 2, 8))),
                            new DataCentre(
                                    "ma-a",
                                    2,
                                    List.of(new Endpoints("writer", Kind.ENGINE, 2, 8)))),
                    1);

    @TempDir private static Path sFolder;

    private static Deployment sDeployment;
    private static Manifest sManifest;

    @BeforeAll
    static void startDeployment() throws Exception {
        sDeployment = Deployment.start(sFolder.resolve("run"), TOPOLOGY, settings -> {});
        // 1 MiB of weights in chunks of 64 KiB, generated from seed 7.
        sManifest = sDeployment.publish("writer", "v1", 1 << 20, 64 << 10, 7);
        sDeployment.apply("writer", sDeployment.modelDocument("writer", sManifest));
        sDeployment.awaitServing("writer", sManifest.digest(), 4, TIMEOUT);
    }

    @AfterAll
    static void stopDeployment() {
        sDeployment.close();
    }

    @Test
    void terminate_agentUnderLoad_cutsNothing() throws Exception {
        ManagedProcess agent = sDeployment.process("ne-a-writer-1");
        LoadGenerator load = startLoad(entries("ne-a"));
        awaitRunning("ne-a-writer-1");

        agent.terminate();
        int exit = agent.awaitExit(TIMEOUT);
        LoadCounts counts = load.stop();
        agent.restart();

        assertThat(exit, is(0));
        assertNothingLost(counts);
        sDeployment.awaitServing("writer", sManifest.digest(), 4, TIMEOUT);
    }

    @Test
    void terminate_entryUnderLoad_cutsNothing() throws Exception {
        ManagedProcess entry = sDeployment.process("ma-a-entry-2");
        LoadGenerator load = startLoad(List.of(vm("ma-a-entry-2").data()));
        awaitRunning("ma-a-writer-1");

        entry.terminate();
        Await.until(
                "ma-a-entry-2 to be no longer ready", TIMEOUT, () -> !isReady(vm("ma-a-entry-2")));
        LoadCounts counts = load.stop();
        int exit = entry.awaitExit(TIMEOUT);
        entry.restart();

        assertThat(exit, is(0));
        assertNothingLost(counts);
        Await.until("ma-a-entry-2 to be ready again", TIMEOUT, () -> isReady(vm("ma-a-entry-2")));
    }

    @Test
    void outAndIn_dataCentreUnderLoad_cutsNothingAndEndsNewWork() throws Exception {
        LoadGenerator load = startLoad(entries("ma-a"));
        awaitRunning("ma-a-writer-1");

        sDeployment.setDataCentre(vm("ne-a-entry-1"), "ma-a", "out");
        Await.until("the last running request in ma-a", TIMEOUT, () -> runningIn("ma-a") == 0);
        Await.until("running requests in ne-a", TIMEOUT, () -> runningIn("ne-a") > 0);
        sDeployment.setDataCentre(vm("ne-a-entry-1"), "ma-a", "in");
        Await.until("running requests in ma-a", TIMEOUT, () -> runningIn("ma-a") > 0);
        LoadCounts counts = load.stop();

        assertNothingLost(counts);
    }

    @Test
    void kill_agentUnderLoad_endsOnlyWhatItHadAndServiceGoesOn() throws Exception {
        ManagedProcess agent = sDeployment.process("ne-a-writer-2");
        LoadGenerator load = startLoad(entries("ne-a"));
        awaitRunning("ne-a-writer-2");

        agent.kill();
        long killedAtMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        Await.until(
                "3 s of load after the kill",
                TIMEOUT,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) - killedAtMillis > 3_000);
        LoadCounts counts = load.stop();
        agent.restart();

        assertThat(counts.toJson().toString(), counts.of(Verdict.LOST), is(0L));
        assertThat(counts.toJson().toString(), counts.of(Verdict.ANSWERED), greaterThan(0L));
        // The agent has a capacity of eight calls, so its exit can interrupt no more than eight.
        long ended = counts.of(Verdict.CUT) + counts.of(Verdict.OUTCOME_UNKNOWN);
        assertThat(counts.toJson().toString(), ended <= 8, is(true));
        sDeployment.awaitServing("writer", sManifest.digest(), 4, TIMEOUT);
    }

    private static void assertNothingLost(LoadCounts counts) {
        assertThat(counts.toJson().toString(), counts.isClean(), is(true));
        assertThat(counts.toJson().toString(), counts.of(Verdict.OUTCOME_UNKNOWN), is(0L));
        assertThat(counts.of(Verdict.ANSWERED), greaterThan(0L));
    }

    private static void awaitRunning(String name) {
        Await.until(
                "running requests at " + name,
                TIMEOUT,
                () -> endpoint(vm(name)).path("running").asInt() > 0);
    }

    private static int runningIn(String dataCentre) throws Exception {
        int running = 0;
        for (Vm vm : TOPOLOGY.endpointVms("writer")) {
            if (vm.dataCentre().equals(dataCentre)) {
                running += endpoint(vm).path("running").asInt();
            }
        }
        return running;
    }

    private static JsonNode endpoint(Vm vm) throws Exception {
        try (OperatorClient client = sDeployment.operators(vm(vm.dataCentre() + "-entry-1"))) {
            for (JsonNode endpoint : client.read("endpoints").body()) {
                if (endpoint.path("vm").asText().equals(vm.name())) {
                    return endpoint;
                }
            }
        }
        throw new IllegalStateException("no endpoint " + vm.name());
    }

    private static boolean isReady(Vm vm) throws Exception {
        java.net.http.HttpResponse<String> response =
                java.net.http.HttpClient.newHttpClient()
                        .send(
                                java.net.http.HttpRequest.newBuilder(
                                                java.net.URI.create(
                                                        "http://" + vm.admin() + "/health/ready"))
                                        .build(),
                                java.net.http.HttpResponse.BodyHandlers.ofString());
        return response.statusCode() == 200;
    }

    private static Vm vm(String name) {
        List<Vm> all = new java.util.ArrayList<>(TOPOLOGY.entryVms());
        all.addAll(TOPOLOGY.endpointVms("writer"));
        return all.stream().filter(vm -> vm.name().equals(name)).findFirst().orElseThrow();
    }

    private static List<String> entries(String dataCentre) {
        return TOPOLOGY.entryVms().stream()
                .filter(vm -> vm.dataCentre().equals(dataCentre))
                .map(Vm::data)
                .collect(Collectors.toList());
    }

    private static LoadGenerator startLoad(List<String> entries) {
        return LoadGenerator.start(
                "--entries",
                String.join(",", entries),
                "--service",
                "writer",
                "--token",
                Deployment.CALLER_TOKEN,
                "--digests",
                sManifest.digest(),
                "--workers",
                "8");
    }
}
