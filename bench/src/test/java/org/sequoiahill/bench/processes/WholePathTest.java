package org.sequoiahill.bench.processes;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sequoiahill.bench.load.LoadCounts;
import org.sequoiahill.bench.load.LoadCounts.Verdict;
import org.sequoiahill.bench.load.LoadGenerator;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;
import org.sequoiahill.protocol.weights.Manifest;

class WholePathTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int WEIGHT_BYTES = 1 << 20;
    private static final int CHUNK_BYTES = 64 << 10;
    private static final long SEED = 7;

    private static final Topology TOPOLOGY =
            new Topology(
                    "127.25",
                    List.of(
                            new DataCentre(
                                    "ne-a",
                                    1,
                                    List.of(
                                            new Endpoints("writer", Kind.ENGINE, 2, 8),
                                            new Endpoints("ledger", Kind.LEDGER, 1, 8)))),
                    1);

    @Test
    void push_underLoad_noRequestFailsChecks(@TempDir Path folder) throws Exception {
        try (Deployment deployment = Deployment.start(folder, TOPOLOGY, settings -> {})) {
            Manifest first = deployment.publish("writer", "v1", WEIGHT_BYTES, CHUNK_BYTES, SEED);
            Manifest second =
                    deployment.publish("writer", "v2", WEIGHT_BYTES, CHUNK_BYTES, SEED + 1);
            deployment.apply("writer", deployment.modelDocument("writer", first));
            deployment.apply("ledger", deployment.ledgerDocument("ledger"));
            deployment.awaitServing("writer", first.digest(), 2, TIMEOUT);
            deployment.awaitServing("ledger", "", 1, TIMEOUT);

            LoadGenerator load = startLoad(first, second);
            deployment.apply("writer", deployment.modelDocument("writer", second));
            deployment.awaitServing("writer", second.digest(), 2, TIMEOUT);
            LoadCounts counts = load.stop();

            assertThat(counts.toJson().toString(), counts.isClean(), is(true));
            assertThat(counts.of(Verdict.ANSWERED), greaterThan(0L));
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
                "8");
    }
}
