package org.sequoiahill.bench.weights;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sequoiahill.bench.load.LoadCounts;
import org.sequoiahill.bench.load.LoadCounts.Verdict;
import org.sequoiahill.bench.load.LoadGenerator;
import org.sequoiahill.bench.processes.Await;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.protocol.weights.Manifest;

/**
 * Pushes a version while agents fail and the origin corrupts chunks, and sends an engine an
 * outdated load order after a push.
 */
class PushUnderFaultsTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(90);
    private static final int WEIGHT_BYTES = 8 << 20;
    private static final int CHUNK_BYTES = 64 << 10;
    private static final long SEED = 22;
    private static final int ENDPOINTS = 3;

    private static final Topology TOPOLOGY =
            new Topology(
                    "127.22",
                    List.of(
                            new DataCentre(
                                    "ne-a",
                                    1,
                                    List.of(
                                            new Endpoints("writer", Kind.ENGINE, ENDPOINTS, 8),
                                            new Endpoints("ledger", Kind.LEDGER, 1, 8)))),
                    1);

    @Test
    void push_agentKilledOwnerFrozenChunksCorrupt_everyResponseFromOneCompleteVersion(
            @TempDir Path folder) throws Exception {
        try (Deployment deployment = Deployment.start(folder, TOPOLOGY, settings -> {})) {
            Manifest first = deployment.publish("writer", "v1", WEIGHT_BYTES, CHUNK_BYTES, SEED);
            Manifest second =
                    deployment.publish("writer", "v2", WEIGHT_BYTES, CHUNK_BYTES, SEED + 1);
            deployment.apply("writer", deployment.modelDocument("writer", first));
            deployment.apply("ledger", deployment.ledgerDocument("ledger"));
            deployment.awaitServing("writer", first.digest(), ENDPOINTS, TIMEOUT);
            deployment.awaitServing("ledger", "", 1, TIMEOUT);

            List<Vm> writers = TOPOLOGY.endpointVms("writer");
            setFault(Deployment.originAddress(TOPOLOGY), "{\"kind\":\"corrupt\",\"every\":20}");
            LoadGenerator load = startLoad(first, second);
            deployment.apply("writer", deployment.modelDocument("writer", second));
            deployment.process(writers.get(0).name()).freeze();
            deployment.process(writers.get(1).name()).kill();
            deployment.process(writers.get(1).name()).restart();
            deployment.awaitServing("writer", second.digest(), 2, TIMEOUT);
            deployment.process(writers.get(0).name()).resume();
            deployment.awaitServing("writer", second.digest(), ENDPOINTS, TIMEOUT);
            LoadCounts counts = load.stop();

            assertThat(counts.toJson().toString(), counts.of(Verdict.MIXED), is(0L));
            assertThat(counts.toJson().toString(), counts.of(Verdict.ANSWERED), greaterThan(0L));
            for (Vm writer : writers) {
                assertThat(
                        loadedBy(writer.standIn()),
                        everyItem(is(in(List.of(first.digest(), second.digest())))));
            }
        }
    }

    @Test
    void serving_delayedOutdatedLoadOrder_targetVersionLoadedAgain(@TempDir Path folder)
            throws Exception {
        try (Deployment deployment = Deployment.start(folder, TOPOLOGY, settings -> {})) {
            Manifest first = deployment.publish("writer", "v1", WEIGHT_BYTES, CHUNK_BYTES, SEED);
            Manifest second =
                    deployment.publish("writer", "v2", WEIGHT_BYTES, CHUNK_BYTES, SEED + 1);
            deployment.apply("writer", deployment.modelDocument("writer", first));
            deployment.awaitServing("writer", first.digest(), ENDPOINTS, TIMEOUT);
            deployment.apply("writer", deployment.modelDocument("writer", second));
            deployment.awaitServing("writer", second.digest(), ENDPOINTS, TIMEOUT);

            Vm writer = TOPOLOGY.endpointVms("writer").get(0);
            Path weights = folder.toAbsolutePath().resolve(writer.name()).resolve("weights");
            String order =
                    "{\"version\":\"v1\",\"fence\":1,\"folder\":\""
                            + weights.resolve(first.digest())
                            + "\"}";
            post(writer.standIn(), "/admin/load", order);
            assertThat(loadedBy(writer.standIn()), hasItem(first.digest()));
            Await.until(
                    "the target version",
                    TIMEOUT,
                    () -> {
                        List<String> loaded = loadedBy(writer.standIn());
                        return loaded.get(loaded.size() - 1).equals(second.digest());
                    });
            deployment.awaitServing("writer", second.digest(), ENDPOINTS, TIMEOUT);
        }
    }

    private static LoadGenerator startLoad(Manifest first, Manifest second) {
        return LoadGenerator.start(
                "--entries",
                TOPOLOGY.entryVms().get(0).data(),
                "--service",
                "writer",
                "--ledger",
                "ledger",
                "--ledger-admin",
                TOPOLOGY.endpointVms("ledger").get(0).standIn(),
                "--token",
                Deployment.CALLER_TOKEN,
                "--digests",
                first.digest() + "," + second.digest(),
                "--workers",
                "4");
    }

    private static void setFault(String address, String fault) throws Exception {
        post(address, "/admin/fault", fault);
    }

    private static void post(String address, String path, String body) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static List<String> loadedBy(String engine) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + engine + "/admin/state")).build();
        String body =
                HttpClient.newHttpClient()
                        .send(request, HttpResponse.BodyHandlers.ofString())
                        .body();
        List<String> loaded = new ArrayList<>();
        for (JsonNode digest : JsonMapper.builder().build().readTree(body).path("loaded")) {
            loaded.add(digest.asText());
        }
        return loaded;
    }
}
