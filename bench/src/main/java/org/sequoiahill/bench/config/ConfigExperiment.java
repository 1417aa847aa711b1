package org.sequoiahill.bench.config;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.sequoiahill.bench.Experiment;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.Hosting;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.cli.OperatorClient;

/**
 * Measures how long a configuration change takes to be committed, and to be in force at every entry
 * and agent.
 */
@Parameters(commandDescription = "time to commit a change and until it is in force everywhere")
public final class ConfigExperiment implements Experiment {
    private static final String SERVICE = "ledger";
    private static final String SERVICE_PATH = "services/" + SERVICE;
    private static final Duration IN_FORCE_BOUND = Duration.ofSeconds(20);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
    private static final Duration PAUSE_BETWEEN_CHANGES = Duration.ofMillis(200);

    @Parameter(names = "--entries", description = "number of entries in each data centre")
    private int mEntries = 2;

    @Parameter(names = "--agents", description = "number of agents in each data centre")
    private int mAgents = 5;

    @Parameter(names = "--changes", description = "number of changes")
    private int mChanges = 100;

    @Parameter(names = "--prefix", description = "first two octets of the addresses used")
    private String mPrefix = "127.21";

    private final ObjectNode mJson = JsonMapper.builder().build().createObjectNode();

    @Override
    public boolean run() throws Exception {
        Path folder = Files.createTempDirectory("config");
        List<DataCentre> dataCentres = new ArrayList<>();
        for (String name : List.of("ne-a", "ma-a", "gl-a")) {
            Endpoints agents = new Endpoints(SERVICE, Kind.NONE, mAgents, 1);
            dataCentres.add(new DataCentre(name, mEntries, List.of(agents)));
        }
        Topology topology = new Topology(mPrefix, dataCentres, 3);
        Histogram commit = new Histogram(3);
        Histogram inForce = new Histogram(3);
        try (Deployment deployment =
                Deployment.start(folder, topology, Hosting.AGENTS_TOGETHER, settings -> {})) {
            DocumentCost.measure(deployment.ledgerDocument(SERVICE), mJson);
            deployment.apply(SERVICE, deployment.ledgerDocument(SERVICE));
            try (Watch watch = Watch.of(deployment, topology, mAgents)) {
                watch.await(1);
                for (int i = 0; i < mChanges; i++) {
                    change(watch, deployment.ledgerDocument(SERVICE), i, commit, inForce);
                }
            }
        }
        return report(commit, inForce);
    }

    private static void change(
            Watch watch, String document, int change, Histogram commit, Histogram inForce)
            throws Exception {
        OperatorClient client = watch.clients().get(change % watch.clients().size());
        long replaces = watch.revisionOf(client);
        // Trailing spaces make each document differ from the previous one.
        String body = document + " ".repeat(1 + change % 7);
        long start = System.nanoTime();
        OperatorClient.Response response =
                client.change(SERVICE_PATH, replaces, UUID.randomUUID().toString(), body);
        commit.recordValue(microsSince(start));
        if (!response.isOk()) {
            throw new IllegalStateException("change " + change + " was not accepted: " + response);
        }
        watch.await(response.body().path("revision").asLong());
        inForce.recordValue(microsSince(start));
        LockSupport.parkNanos(PAUSE_BETWEEN_CHANGES.toNanos());
    }

    private static long microsSince(long start) {
        return (System.nanoTime() - start) / 1_000;
    }

    private boolean report(Histogram commit, Histogram inForce) {
        mJson.put("entries", 3 * mEntries).put("agents", 3 * mAgents).put("changes", mChanges);
        System.out.printf("%-22s %10s %10s %10s %10s%n", "ms", "p50", "p95", "p99", "max");
        reportRow("commit", commit, mJson);
        reportRow("in force everywhere", inForce, mJson);
        System.out.println(mJson);
        return inForce.getMaxValue() <= IN_FORCE_BOUND.toNanos() / 1_000;
    }

    private static void reportRow(String name, Histogram histogram, ObjectNode json) {
        double p50 = histogram.getValueAtPercentile(50) / 1e3;
        double p95 = histogram.getValueAtPercentile(95) / 1e3;
        double p99 = histogram.getValueAtPercentile(99) / 1e3;
        double max = histogram.getMaxValue() / 1e3;
        System.out.printf("%-22s %10.1f %10.1f %10.1f %10.1f%n", name, p50, p95, p99, max);
        json.putObject(name).put("p50", p50).put("p95", p95).put("p99", p99).put("max", max);
    }

    /**
     * Reads which revision is in force at each entry and at the endpoints that the entry lists.
     *
     * @param agents number of endpoints that each entry must list
     */
    private record Watch(List<OperatorClient> clients, int agents) implements AutoCloseable {
        static Watch of(Deployment deployment, Topology topology, int agents) throws Exception {
            List<OperatorClient> clients = new ArrayList<>();
            for (Vm entry : topology.entryVms()) {
                clients.add(deployment.operators(entry));
            }
            return new Watch(clients, agents);
        }

        long revisionOf(OperatorClient client) throws IOException, InterruptedException {
            return client.read(SERVICE_PATH).body().path("revision").asLong();
        }

        void await(long revision) throws IOException, InterruptedException {
            long end = System.nanoTime() + 2 * IN_FORCE_BOUND.toNanos();
            for (OperatorClient client : clients) {
                while (!isInForce(client, revision)) {
                    if (System.nanoTime() - end > 0) {
                        throw new IllegalStateException(
                                "revision " + revision + " is not in force everywhere");
                    }
                    LockSupport.parkNanos(POLL_INTERVAL.toNanos());
                }
            }
        }

        private boolean isInForce(OperatorClient client, long revision)
                throws IOException, InterruptedException {
            JsonNode status = client.read(SERVICE_PATH + "/status").body();
            if (status.path("configurationRevision").asLong() < revision) {
                return false;
            }
            int current = 0;
            for (JsonNode endpoint : client.read("endpoints").body()) {
                current += endpoint.path("revision").asLong() >= revision ? 1 : 0;
            }
            return current >= agents;
        }

        @Override
        public void close() {
            clients.forEach(OperatorClient::close);
        }
    }
}
