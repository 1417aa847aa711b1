package org.sequoiahill.bench.request;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.protocol.weights.Digests;

/** Daemon processes, engines that run in this process, and one service with three priorities. */
final class RequestTestbed implements AutoCloseable {
    static final String SERVICE = "writer";

    private static final Duration START_TIMEOUT = Duration.ofSeconds(90);
    private static final int SCHEDULER_THREADS = 2;

    private final Deployment mDeployment;
    private final Map<Vm, BatchEngine> mEngines;
    private final ScheduledExecutorService mScheduler;

    private RequestTestbed(
            Deployment deployment,
            Map<Vm, BatchEngine> engines,
            ScheduledExecutorService scheduler) {
        mDeployment = deployment;
        mEngines = engines;
        mScheduler = scheduler;
    }

    /**
     * Starts engines and daemons. Endpoints of the topology must be of kind NONE, so that the
     * deployment starts no stand-ins at the engines' addresses.
     */
    static RequestTestbed start(Topology topology, BatchEngine.Parameters parameters)
            throws Exception {
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(SCHEDULER_THREADS);
        Map<Vm, BatchEngine> engines = new LinkedHashMap<>();
        for (Vm vm : topology.endpointVms(SERVICE)) {
            engines.put(vm, BatchEngine.start(vm.standIn(), parameters, scheduler));
        }
        Path folder = Files.createTempDirectory("sequoia-bench");
        Deployment deployment = Deployment.start(folder, topology, settings -> {});
        deployment.apply(SERVICE, document());
        deployment.awaitServing(SERVICE, "", engines.size(), START_TIMEOUT);
        return new RequestTestbed(deployment, engines, scheduler);
    }

    Deployment deployment() {
        return mDeployment;
    }

    Map<Vm, BatchEngine> engines() {
        return mEngines;
    }

    /** Returns the data addresses of the entries of a data centre; an empty name means all. */
    List<String> entries(String dataCentre) {
        return mDeployment.topology().entryVms().stream()
                .filter(vm -> dataCentre.isEmpty() || vm.dataCentre().equals(dataCentre))
                .map(Vm::data)
                .toList();
    }

    private static String document() {
        return """
        {"service": "writer", "owner": "bench", "kind": "plain",
         "routes": [{"path": "/v1/high", "priority": "high"},
                    {"path": "/v1/normal", "priority": "normal"},
                    {"path": "/v1/low", "priority": "low"}],
         "organisations": [{"name": "callers", "keyDigest": "%s", "queueLimit": 10000}]}
        """
                .formatted(Digests.of(Deployment.CALLER_TOKEN));
    }

    @Override
    public void close() {
        mDeployment.close();
        mEngines.values().forEach(BatchEngine::shutDown);
        mScheduler.shutdownNow();
    }
}
