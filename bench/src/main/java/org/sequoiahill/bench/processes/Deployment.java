package org.sequoiahill.bench.processes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;
import java.util.function.Consumer;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.cli.ManifestWriter;
import org.sequoiahill.cli.OperatorClient;
import org.sequoiahill.daemon.SequoiahillDaemon;
import org.sequoiahill.examples.StandInEngine;
import org.sequoiahill.examples.StandInLedger;
import org.sequoiahill.examples.StandInOrigin;
import org.sequoiahill.protocol.weights.Digests;
import org.sequoiahill.protocol.weights.Manifest;

/** Real daemons and stand-ins as processes on loopback addresses, for experiments and tests. */
public final class Deployment implements AutoCloseable {
    /** Bearer token of the operator that every daemon accepts. */
    public static final String OPERATOR_TOKEN = "operator-token";

    /** Bearer token of the organisation in {@link #modelDocument} and {@link #ledgerDocument}. */
    public static final String CALLER_TOKEN = "caller-token";

    /** Name of the process shared by agents. */
    public static final String HOSTED_AGENTS = "hosted-agents";

    /** Name of the process shared by entries that are not stores. */
    public static final String HOSTED_ENTRIES = "hosted-entries";

    private static final int HOST_HEAP_MEBIBYTES = 3_072;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final int DAEMON_HEAP_MEBIBYTES = 128;
    private static final int STAND_IN_HEAP_MEBIBYTES = 64;

    private final Path mFolder;
    private final Topology mTopology;
    private final Hosting mHosting;
    private final SettingsWriter mSettings;
    private final Map<String, ManagedProcess> mProcesses = new LinkedHashMap<>();

    private Deployment(
            Path folder, Topology topology, Hosting hosting, Consumer<ObjectNode> changeSettings) {
        mFolder = folder;
        mTopology = topology;
        mHosting = hosting;
        mSettings = new SettingsWriter(folder, topology, changeSettings);
    }

    /**
     * Starts every process of a topology; the caller must {@link #close} the deployment.
     *
     * @param folder empty folder for settings, logs, data and weights
     * @param changeSettings changes the settings of each daemon before they are written
     */
    public static Deployment start(
            Path folder, Topology topology, Consumer<ObjectNode> changeSettings)
            throws IOException {
        return start(folder, topology, Hosting.SEPARATE, changeSettings);
    }

    /** Starts every process of a topology, with daemons in processes as {@code hosting} says. */
    public static Deployment start(
            Path folder, Topology topology, Hosting hosting, Consumer<ObjectNode> changeSettings)
            throws IOException {
        Deployment deployment =
                new Deployment(folder.toAbsolutePath(), topology, hosting, changeSettings);
        try {
            deployment.startAll();
        } catch (IOException | RuntimeException e) {
            deployment.close();
            throw e;
        }
        return deployment;
    }

    /** Returns the address of the stand-in origin. */
    public static String originAddress(Topology topology) {
        return topology.prefix() + ".9.1:8080";
    }

    /** Returns the topology. */
    public Topology topology() {
        return mTopology;
    }

    /** Returns the folder of settings, logs, data and weights. */
    public Path folder() {
        return mFolder;
    }

    /**
     * Returns a process by its name: that of a VM for a daemon with its own process, {@code
     * VM-stand-in} for the stand-in beside it, {@code origin}, {@link #HOSTED_AGENTS} or {@link
     * #HOSTED_ENTRIES}.
     *
     * @throws IllegalArgumentException if there is no such process
     */
    public ManagedProcess process(String name) {
        ManagedProcess process = mProcesses.get(name);
        if (process == null) {
            throw new IllegalArgumentException("no process " + name + " in " + mProcesses.keySet());
        }
        return process;
    }

    /** Returns a client of the operators' API of a VM. */
    public OperatorClient operators(Vm vm) throws Exception {
        return OperatorClient.connect(vm.admin(), OPERATOR_TOKEN);
    }

    /** Writes a version with random weights to the origin and returns its manifest. */
    public Manifest publish(String service, String version, int bytes, int chunkBytes, long seed)
            throws IOException {
        Path folder = mFolder.resolve("origin").resolve(service).resolve(version);
        Files.createDirectories(folder);
        byte[] weights = new byte[bytes];
        new Random(seed).nextBytes(weights);
        Files.write(folder.resolve("model.bin"), weights);
        return ManifestWriter.write(folder, version, chunkBytes);
    }

    /** Returns the document of a model service at a version, with one completions route. */
    public String modelDocument(String service, Manifest manifest) {
        return """
        {"service": "%s", "owner": "bench", "kind": "model",
         "version": {"name": "%s", "manifestDigest": "%s"},
         "routes": [{"path": "/v1/completions", "idempotent": false, "priority": "high"}],
         "organisations": [{"name": "callers", "keyDigest": "%s"}]}
        """
                .formatted(
                        service, manifest.version(), manifest.digest(), Digests.of(CALLER_TOKEN));
    }

    /** Returns the document of a plain service whose calls must run at most once. */
    public String ledgerDocument(String service) {
        return """
        {"service": "%s", "owner": "bench", "kind": "plain",
         "routes": [{"path": "/entries", "idempotent": false}],
         "organisations": [{"name": "callers", "keyDigest": "%s"}]}
        """
                .formatted(service, Digests.of(CALLER_TOKEN));
    }

    /** Applies a service's document through the first entry that accepts it. */
    public void apply(String service, String document) {
        String changeId = UUID.randomUUID().toString();
        Await.until(
                "the document of " + service,
                START_TIMEOUT,
                () -> {
                    for (Vm entry : mTopology.entryVms()) {
                        if (applyAt(entry, "services/" + service, changeId, document)) {
                            return true;
                        }
                    }
                    return false;
                });
    }

    /** Takes a data centre out of service ("out"), or puts it back ("in"), through an entry. */
    public void setDataCentre(Vm through, String dataCentre, String state) {
        String changeId = UUID.randomUUID().toString();
        String document = "{\"dataCentre\": \"" + dataCentre + "\", \"state\": \"" + state + "\"}";
        String path = "data-centres/" + dataCentre;
        Await.until(
                dataCentre + " " + state,
                START_TIMEOUT,
                () -> applyAt(through, path, changeId, document));
    }

    /**
     * Waits until at least a number of endpoints of a service serve a version.
     *
     * @param digest digest of the version's manifest; empty for a plain service
     */
    public void awaitServing(String service, String digest, int endpoints, Duration timeout) {
        Await.until(
                endpoints + " endpoints of " + service,
                timeout,
                () -> countServing(service, digest) >= endpoints);
    }

    /**
     * Returns the number of endpoints of a service that serve a version, as reported by one live
     * entry of each data centre.
     *
     * @param digest digest of the version's manifest; empty for a plain service
     */
    public int countServing(String service, String digest) throws Exception {
        int total = 0;
        for (Topology.DataCentre dataCentre : mTopology.dataCentres()) {
            for (Vm entry : mTopology.entryVms()) {
                if (entry.dataCentre().equals(dataCentre.name()) && isAlive(entry)) {
                    total += countServingAt(entry, service, digest);
                    break;
                }
            }
        }
        return total;
    }

    @Override
    public void close() {
        List<ManagedProcess> processes = new ArrayList<>(mProcesses.values());
        for (ManagedProcess process : processes) {
            try {
                process.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private boolean isAlive(Vm vm) {
        ManagedProcess process = mProcesses.get(vm.name());
        return process == null || process.isAlive();
    }

    private boolean applyAt(Vm entry, String path, String changeId, String document)
            throws Exception {
        try (OperatorClient client = operators(entry)) {
            OperatorClient.Response current = client.read(path);
            long replaces = current.isOk() ? current.body().path("revision").asLong() : 0;
            return client.change(path, replaces, changeId, document).isOk();
        } catch (IOException e) {
            return false;
        }
    }

    private int countServingAt(Vm entry, String service, String digest) throws Exception {
        int serving = 0;
        try (OperatorClient client = operators(entry)) {
            for (JsonNode endpoint : client.read("endpoints").body()) {
                if (endpoint.path("service").asText().equals(service)
                        && endpoint.path("serving").asBoolean()
                        && endpoint.path("versionDigest").asText().equals(digest)) {
                    serving++;
                }
            }
        }
        return serving;
    }

    private void startAll() throws IOException {
        Files.createDirectories(mFolder.resolve("origin"));
        startStandIn(
                "origin",
                StandInOrigin.class,
                "--listen",
                originAddress(mTopology),
                "--folder",
                mFolder.resolve("origin").toString());
        for (Vm vm : mTopology.entryVms()) {
            boolean isStore = mTopology.storeVms().contains(vm);
            if (mHosting == Hosting.TOGETHER && !isStore) {
                moveSettingsTo(HOSTED_ENTRIES, mSettings.writeEntry(vm));
            } else {
                startDaemon(vm, mSettings.writeEntry(vm));
            }
        }
        for (Topology.DataCentre dataCentre : mTopology.dataCentres()) {
            for (Endpoints endpoints : dataCentre.endpoints()) {
                startEndpoints(dataCentre, endpoints);
            }
        }
        for (String host : List.of(HOSTED_ENTRIES, HOSTED_AGENTS)) {
            if (Files.isDirectory(mFolder.resolve(host))) {
                startHost(host);
            }
        }
    }

    private void startHost(String name) throws IOException {
        mProcesses.put(
                name,
                ManagedProcess.startJava(
                        name,
                        mFolder,
                        HOST_HEAP_MEBIBYTES,
                        DaemonHost.class.getName(),
                        List.of(mFolder.resolve(name).toString())));
    }

    private void moveSettingsTo(String host, Path settings) throws IOException {
        Path folder = Files.createDirectories(mFolder.resolve(host));
        Files.move(settings, folder.resolve(settings.getFileName()));
    }

    private void startEndpoints(Topology.DataCentre dataCentre, Endpoints endpoints)
            throws IOException {
        for (Vm vm : mTopology.endpointVms(endpoints.service())) {
            if (!vm.dataCentre().equals(dataCentre.name())) {
                continue;
            }
            boolean checksFencing = endpoints.kind() == Kind.ENGINE_CHECKING_FENCING;
            List<String> arguments = new ArrayList<>(List.of("--listen", vm.standIn()));
            if (checksFencing) {
                arguments.add("--checks-fencing");
            }
            if (endpoints.kind() != Kind.NONE) {
                Class<?> standIn =
                        endpoints.kind() == Kind.LEDGER ? StandInLedger.class : StandInEngine.class;
                startStandIn(vm.name() + "-stand-in", standIn, arguments.toArray(String[]::new));
            }
            Path settings =
                    mSettings.writeAgent(
                            vm, endpoints.service(), endpoints.capacity(), checksFencing);
            if (mHosting == Hosting.SEPARATE) {
                startDaemon(vm, settings);
            } else {
                moveSettingsTo(HOSTED_AGENTS, settings);
            }
        }
    }

    private void startStandIn(String name, Class<?> program, String... arguments)
            throws IOException {
        mProcesses.put(
                name,
                ManagedProcess.startJava(
                        name,
                        mFolder,
                        STAND_IN_HEAP_MEBIBYTES,
                        program.getName(),
                        List.of(arguments)));
    }

    private void startDaemon(Vm vm, Path settings) throws IOException {
        mProcesses.put(
                vm.name(),
                ManagedProcess.startJava(
                        vm.name(),
                        mFolder,
                        DAEMON_HEAP_MEBIBYTES,
                        SequoiahillDaemon.class.getName(),
                        List.of("--config", settings.toString())));
    }
}
