package org.sequoiahill.bench.stores;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.sequoiahill.bench.processes.Await;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.cli.OperatorClient;
import org.sequoiahill.protocol.weights.Digests;

/** Store processes, one per data centre, and an operator that changes one document. */
final class StoreFleet implements AutoCloseable {
    static final Duration TIMEOUT = Duration.ofSeconds(90);
    private static final String PATH = "services/ledger";
    private static final String GROUP = "config";

    private final Deployment mDeployment;
    private int mChanges;
    private long mRevision;
    private String mBody = "";

    private StoreFleet(Deployment deployment) {
        mDeployment = deployment;
    }

    static StoreFleet start(
            Path folder, String prefix, int stores, Consumer<ObjectNode> changeSettings)
            throws IOException {
        List<DataCentre> dataCentres = new ArrayList<>();
        for (int i = 0; i < stores; i++) {
            dataCentres.add(new DataCentre("dc-" + (char) ('a' + i), 1, List.of()));
        }
        Topology topology = new Topology(prefix, dataCentres, stores);
        return new StoreFleet(Deployment.start(folder, topology, changeSettings));
    }

    Deployment deployment() {
        return mDeployment;
    }

    List<Vm> stores() {
        return mDeployment.topology().storeVms();
    }

    long revision() {
        return mRevision;
    }

    /**
     * Makes one change, retried with the same change id until a store accepts it.
     *
     * @throws IllegalStateException if no store accepts it in time or the revision does not grow
     */
    void change() {
        mChanges++;
        String changeId = UUID.randomUUID().toString();
        String body = document(mChanges);
        long previous = mRevision;
        Await.until("change " + mChanges, TIMEOUT, () -> changeAtAny(changeId, body));
        if (mRevision <= previous) {
            throw new IllegalStateException(
                    "revision did not grow: " + mRevision + " after " + previous);
        }
        mBody = body;
    }

    /** Makes one change through one VM without a retry; returns whether it was accepted. */
    boolean changeAt(OperatorClient client) throws IOException, InterruptedException {
        mChanges++;
        String body = document(mChanges);
        return recordIfAccepted(
                client.change(PATH, mRevision, UUID.randomUUID().toString(), body), body);
    }

    /** Waits until a VM serves the revision and the document of the last accepted change. */
    void awaitLastChangeAt(Vm vm) {
        Await.until(
                "revision " + mRevision + " at " + vm.name(),
                TIMEOUT,
                () -> {
                    try (OperatorClient client = mDeployment.operators(vm)) {
                        JsonNode document = client.read(PATH).body();
                        return document.path("revision").asLong() == mRevision
                                && document.path("document").asText().equals(mBody);
                    }
                });
    }

    /** Returns the leader of the configuration group that a VM reports; empty if it knows none. */
    String leaderKnownBy(Vm vm) throws Exception {
        try (OperatorClient client = mDeployment.operators(vm)) {
            return client.read("stores").body().path(GROUP).path("leader").asText();
        }
    }

    /** Waits until a store reports a leader of the configuration group, and returns the leader. */
    Vm awaitLeader() {
        List<Vm> leaders = new ArrayList<>();
        Await.until(
                "a leader",
                TIMEOUT,
                () -> {
                    for (Vm vm : stores()) {
                        String leader = leaderKnownBy(vm);
                        stores().stream()
                                .filter(store -> store.name().equals(leader))
                                .forEach(leaders::add);
                        if (!leaders.isEmpty()) {
                            return true;
                        }
                    }
                    return false;
                });
        return leaders.get(0);
    }

    /**
     * Waits until an observer reports that a VM is a voter of both groups, with an incarnation
     * above the given one.
     */
    void awaitVoter(Vm vm, Vm observer, long aboveIncarnation) {
        Await.until(
                vm.name() + " as a voter",
                TIMEOUT,
                () -> {
                    try (OperatorClient client = mDeployment.operators(observer)) {
                        JsonNode groups = client.read("stores").body();
                        return isVoter(groups.path("config"), vm, aboveIncarnation)
                                && isVoter(groups.path("claims"), vm, aboveIncarnation);
                    }
                });
    }

    /**
     * Returns the incarnation of a VM in the configuration group, as an observer reports it; 0 if
     * the VM is no member.
     */
    long incarnationOf(Vm vm, Vm observer) throws Exception {
        try (OperatorClient client = mDeployment.operators(observer)) {
            for (JsonNode member : client.read("stores").body().path(GROUP).path("members")) {
                if (member.path("vm").asText().equals(vm.name())) {
                    return member.path("incarnation").asLong();
                }
            }
        }
        return 0;
    }

    /** Kills a store and deletes its data folder. */
    void loseDisk(Vm vm) throws IOException, InterruptedException {
        mDeployment.process(vm.name()).kill();
        Path folder = mDeployment.folder().resolve(vm.name());
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    @Override
    public void close() {
        mDeployment.close();
    }

    private static boolean isVoter(JsonNode group, Vm vm, long aboveIncarnation) {
        for (JsonNode member : group.path("members")) {
            if (member.path("vm").asText().equals(vm.name())) {
                return member.path("votes").asBoolean()
                        && member.path("incarnation").asLong() > aboveIncarnation;
            }
        }
        return false;
    }

    private boolean changeAtAny(String changeId, String body) {
        return stores().stream()
                .filter(vm -> mDeployment.process(vm.name()).isAlive())
                .anyMatch(vm -> tryChangeAt(vm, changeId, body));
    }

    private boolean tryChangeAt(Vm vm, String changeId, String body) {
        try (OperatorClient client = mDeployment.operators(vm)) {
            return recordIfAccepted(client.change(PATH, mRevision, changeId, body), body);
        } catch (Exception e) {
            // The change is retried at the next store with the same change id.
            return false;
        }
    }

    private boolean recordIfAccepted(OperatorClient.Response response, String body) {
        if (!response.isOk()) {
            return false;
        }
        mRevision = response.body().path("revision").asLong();
        mBody = body;
        return true;
    }

    private static String document(int change) {
        return """
        {"service": "ledger", "owner": "bench", "kind": "plain",
         "routes": [{"path": "/entries-%d", "idempotent": false}],
         "organisations": [{"name": "callers", "keyDigest": "%s"}]}
        """
                .formatted(change, Digests.of(Deployment.CALLER_TOKEN));
    }
}
