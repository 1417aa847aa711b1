package org.sequoiahill.bench.capacity;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.sequoiahill.bench.load.LoadCounts;
import org.sequoiahill.bench.load.LoadCounts.Verdict;
import org.sequoiahill.bench.load.LoadGenerator;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.Hosting;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.protocol.weights.Manifest;

/** Runs deployments of several sizes and samples the usage of each role. */
final class CapacitySeries {
    private static final Duration START_TIMEOUT = Duration.ofMinutes(2);
    private static final String SERVICE = "desk";
    private static final int MAX_ENTRIES_PER_DATA_CENTRE = 10;
    private static final int DATA_CENTRES = 5;
    private static final int WEIGHT_BYTES = 64 << 10;
    private static final int CAPACITY = 64;

    private final Path mFolder;
    private final String mPrefix;
    private final Duration mSettleTime;
    private final Duration mWindow;
    private final MetricsReader mMetrics;

    CapacitySeries(
            Path folder,
            String prefix,
            Duration settleTime,
            Duration window,
            MetricsReader metrics) {
        mFolder = folder;
        mPrefix = prefix;
        mSettleTime = settleTime;
        mWindow = window;
        mMetrics = metrics;
    }

    /**
     * Usage of the roles at one number of endpoints.
     *
     * @param entry usage of an entry that is not a store
     * @param agent usage of an agent
     * @param store usage of a store that is also an entry
     */
    record EndpointSample(Sample entry, Sample agent, Sample store) {}

    /**
     * Samples an entry, an agent and a store of one data centre with {@code endpoints} endpoints.
     */
    EndpointSample sampleEndpoints(int endpoints) throws Exception {
        Topology topology =
                new Topology(
                        mPrefix,
                        List.of(
                                new DataCentre(
                                        "ne-a",
                                        3,
                                        List.of(new Endpoints(SERVICE, Kind.NONE, endpoints, 8)))),
                        1);
        Path folder = Files.createDirectories(mFolder.resolve("endpoints-" + endpoints));
        try (Deployment deployment =
                Deployment.start(folder, topology, Hosting.AGENTS_TOGETHER, settings -> {})) {
            deployment.apply(SERVICE, deployment.ledgerDocument(SERVICE));
            deployment.awaitServing(SERVICE, "", endpoints, START_TIMEOUT);
            settle();
            Vm store = topology.storeVms().get(0);
            Vm entry = topology.entryVms().get(2);
            Vm agent = topology.endpointVms(SERVICE).get(0);
            return new EndpointSample(
                    sample(endpoints, deployment.process(entry.name()).pid(), 1, entry),
                    sample(
                            endpoints,
                            deployment.process(Deployment.HOSTED_AGENTS).pid(),
                            endpoints,
                            agent),
                    sample(endpoints, deployment.process(store.name()).pid(), 1, store));
        }
    }

    /**
     * Samples the entries that are not stores in a deployment with {@code entries} entries in five
     * data centres.
     *
     * @param entries a multiple of five, at most 50
     */
    Sample sampleEntries(int entries) throws Exception {
        int entriesPerDataCentre = Math.min(MAX_ENTRIES_PER_DATA_CENTRE, entries / DATA_CENTRES);
        List<DataCentre> dataCentres = new ArrayList<>();
        for (int i = 1; i <= DATA_CENTRES; i++) {
            dataCentres.add(new DataCentre("dc-" + i, entriesPerDataCentre, List.of()));
        }
        Topology topology = new Topology(mPrefix, dataCentres, 3);
        Path folder = Files.createDirectories(mFolder.resolve("entries-" + entries));
        try (Deployment deployment =
                Deployment.start(folder, topology, Hosting.TOGETHER, settings -> {})) {
            deployment.apply(SERVICE, deployment.ledgerDocument(SERVICE));
            settle();
            Vm last = topology.entryVms().get(topology.entryVms().size() - 1);
            long pid = deployment.process(Deployment.HOSTED_ENTRIES).pid();
            return sample(entries, pid, entries - topology.stores(), last);
        }
    }

    /**
     * Usage of the daemons on the path of requests.
     *
     * @param requestsPerSecond completed requests per second
     * @param entryCores CPU time of the entry, in cores
     * @param agentCores CPU time of the agent, in cores
     */
    record RequestSample(double requestsPerSecond, double entryCores, double agentCores) {}

    /**
     * Samples an entry and an agent that serve requests of {@code tokens} tokens.
     *
     * @throws IllegalStateException if a request was lost or failed a check
     */
    RequestSample sampleRequests(int workers, int tokens) throws Exception {
        Topology topology =
                new Topology(
                        mPrefix,
                        List.of(
                                new DataCentre(
                                        "ne-a",
                                        1,
                                        List.of(new Endpoints(SERVICE, Kind.ENGINE, 1, CAPACITY)))),
                        1);
        Path folder =
                Files.createDirectories(mFolder.resolve("requests-" + workers + "-" + tokens));
        try (Deployment deployment = Deployment.start(folder, topology, settings -> {})) {
            Manifest manifest =
                    deployment.publish(SERVICE, "v1", WEIGHT_BYTES, WEIGHT_BYTES, workers);
            deployment.apply(SERVICE, deployment.modelDocument(SERVICE, manifest));
            deployment.awaitServing(SERVICE, manifest.digest(), 1, START_TIMEOUT);
            return sampleUnderLoad(deployment, manifest, workers, tokens);
        }
    }

    private RequestSample sampleUnderLoad(
            Deployment deployment, Manifest manifest, int workers, int tokens) throws Exception {
        Topology topology = deployment.topology();
        Vm entry = topology.entryVms().get(0);
        Vm agent = topology.endpointVms(SERVICE).get(0);
        LoadGenerator load =
                LoadGenerator.start(
                        "--entries",
                        entry.data(),
                        "--service",
                        SERVICE,
                        "--token",
                        Deployment.CALLER_TOKEN,
                        "--digests",
                        manifest.digest(),
                        "--workers",
                        Integer.toString(workers),
                        "--tokens",
                        Integer.toString(tokens));
        settle();
        long agentPid = deployment.process(agent.name()).pid();
        long answeredBefore = load.counts().of(Verdict.ANSWERED);
        Duration agentBefore = ProcessUsage.cpuTime(agentPid);
        long start = System.nanoTime();
        Sample entryUsage = sample(workers, deployment.process(entry.name()).pid(), 1, entry);
        double seconds = (System.nanoTime() - start) / 1e9;
        Duration agentCpu = ProcessUsage.cpuTime(agentPid).minus(agentBefore);
        long answered = load.counts().of(Verdict.ANSWERED) - answeredBefore;
        LoadCounts counts = load.stop();
        if (!counts.isClean()) {
            throw new IllegalStateException(
                    "requests lost or wrong under load: " + counts.toJson());
        }
        return new RequestSample(
                answered / seconds, entryUsage.cores(), agentCpu.toNanos() / 1e9 / seconds);
    }

    private Sample sample(double size, long pid, int daemons, Vm vm) throws Exception {
        return UsageWindow.measure(mMetrics, size, pid, daemons, vm, mWindow);
    }

    private void settle() {
        UsageWindow.waitFor(mSettleTime);
    }
}
