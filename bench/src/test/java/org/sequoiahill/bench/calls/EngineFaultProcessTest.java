package org.sequoiahill.bench.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sequoiahill.bench.processes.Await;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.protocol.weights.Manifest;

class EngineFaultProcessTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int ENGINES = 4;
    private static final int TOKENS = 12;
    private static final int REQUESTS = 10;
    private static final Topology TOPOLOGY =
            new Topology(
                    "127.24",
                    List.of(
                            new DataCentre(
                                    "ma-a",
                                    2,
                                    List.of(new Endpoints("writer", Kind.ENGINE, ENGINES, 8)))),
                    1);

    private static Deployment sDeployment;

    private final StreamCaller mCaller = new StreamCaller();

    @BeforeAll
    static void start(@TempDir Path folder) throws Exception {
        sDeployment = Deployment.start(folder, TOPOLOGY, settings -> {});
        // 256 KiB of weights in chunks of 4 KiB, generated from seed 7.
        Manifest weights = sDeployment.publish("writer", "v1", 1 << 18, 1 << 12, 7);
        sDeployment.apply("writer", sDeployment.modelDocument("writer", weights));
        sDeployment.awaitServing("writer", weights.digest(), ENGINES, TIMEOUT);
    }

    @AfterAll
    static void stop() {
        sDeployment.close();
    }

    @Test
    void complete_responseToAnotherPrompt_notForwarded() throws Exception {
        injectFaultAtAll("crossed", "cross-me", 1);

        HttpResponse<String> response = complete(0, "cross-me");

        assertThat(response.body(), response.statusCode(), equalTo(502));
        assertThat(response.body(), not(containsString("another prompt")));
        assertThat(response.headers().firstValue("Sequoia-Not-Run").isPresent(), is(false));
    }

    @Test
    void complete_streamCut_resumedAtAnotherEngineWithoutDuplicateOrLostTokens() throws Exception {
        injectFaultAtAll("cut", "cut-me", 1);

        HttpResponse<String> response = complete(0, "cut-me");

        assertThat(response.statusCode(), equalTo(200));
        assertThat(StreamCaller.tokensOf(response), equalTo(expectedTokens("cut-me")));
    }

    @Test
    void complete_promptThatCrashesEngines_crashesAtMostTwo() throws Exception {
        injectFaultAtAll("crash", "poison", REQUESTS);
        List<Integer> statusCodes = new ArrayList<>();

        for (int i = 0; i < REQUESTS; i++) {
            statusCodes.add(complete(i % 2, "poison").statusCode());
        }

        int crashed = restartCrashedEngines();
        assertThat("crashed engines", crashed, lessThanOrEqualTo(2));
        assertThat(statusCodes.toString(), statusCodes.get(REQUESTS - 1), equalTo(422));
    }

    private HttpResponse<String> complete(int entry, String prompt) throws Exception {
        return mCaller.complete(TOPOLOGY.entryVms().get(entry), "writer", prompt, TOKENS);
    }

    private void injectFaultAtAll(String kind, String marker, int count) throws Exception {
        for (Vm engine : TOPOLOGY.endpointVms("writer")) {
            mCaller.injectFault(engine, kind, marker, count);
        }
    }

    private boolean acceptsFaults(Vm engine) throws Exception {
        mCaller.injectFault(engine, "none", "", 0);
        return true;
    }

    /** Restarts the engines that have crashed, waits for them, and returns their number. */
    private int restartCrashedEngines() throws Exception {
        Set<String> crashed = new HashSet<>();
        // Test methods run in any order, and each calls all engines.
        for (Vm vm : TOPOLOGY.endpointVms("writer")) {
            Await.until(
                    vm.name() + " listens",
                    TIMEOUT,
                    () -> {
                        // A crashed engine may still be exiting after its caller has got a reply.
                        if (!isEngineAlive(vm)) {
                            crashed.add(vm.name());
                            sDeployment.process(vm.name() + "-stand-in").restart();
                        }
                        return acceptsFaults(vm);
                    });
        }
        Await.until(
                "the restarted engines", TIMEOUT, () -> complete(0, "after").statusCode() == 200);
        return crashed.size();
    }

    private static boolean isEngineAlive(Vm vm) {
        return sDeployment.process(vm.name() + "-stand-in").isAlive();
    }

    private static String expectedTokens(String prompt) {
        StringBuilder tokens = new StringBuilder();
        for (int token = 0; token < TOKENS; token++) {
            tokens.append(prompt).append('#').append(token).append(' ');
        }
        return tokens.append("data: [DONE]").toString();
    }
}
