package org.sequoiahill.bench.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
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

class RunOnceProcessTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final String SLOW = "{\"delayMillis\": 2000}";
    private static final Topology TOPOLOGY =
            new Topology(
                    "127.24",
                    List.of(
                            new DataCentre(
                                    "ne-a",
                                    2,
                                    List.of(new Endpoints("ledger", Kind.LEDGER, 1, 8)))),
                    1);
    private static final String LEDGER = TOPOLOGY.endpointVms("ledger").get(0).name();

    private static Deployment sDeployment;

    private final HttpClient mClient = HttpClient.newHttpClient();

    @BeforeAll
    static void start(@TempDir Path folder) throws Exception {
        sDeployment = Deployment.start(folder, TOPOLOGY, settings -> {});
        sDeployment.apply("ledger", sDeployment.ledgerDocument("ledger"));
        sDeployment.awaitServing("ledger", "", 1, TIMEOUT);
        Await.until("the first claim", TIMEOUT, () -> new RunOnceProcessTest().isServed("first"));
    }

    @AfterAll
    static void stop() {
        sDeployment.close();
    }

    @Test
    void resend_entryKilledWhileCallRuns_responseOfTheOnlyRun() throws Exception {
        String key = "entry-killed";
        CompletableFuture<HttpResponse<String>> first = send(1, key, SLOW);
        awaitRun(key);
        sDeployment.process("ne-a-entry-2").kill();

        HttpResponse<String> resend = send(0, key, SLOW).join();
        sDeployment.process("ne-a-entry-2").restart();
        first.handle((response, failure) -> failure).join();

        assertThat(resend.body(), resend.statusCode(), equalTo(201));
        assertThat(resend.headers().firstValue("Sequoia-Replay").isPresent(), is(true));
        assertThat(runsOf(key), equalTo(1));
        HttpResponse<String> again = send(0, key, SLOW).join();
        assertThat(again.body(), equalTo(resend.body()));
        assertThat(runsOf(key), equalTo(1));
    }

    @Test
    void send_sameKeyAtTwoEntriesConcurrently_runsOnceAndBothGetResponse() throws Exception {
        awaitEntry(1);
        CompletableFuture<HttpResponse<String>> first = send(0, "at-once", SLOW);
        CompletableFuture<HttpResponse<String>> second = send(1, "at-once", SLOW);

        assertThat(first.join().body(), first.join().statusCode(), equalTo(201));
        assertThat(second.join().body(), equalTo(first.join().body()));
        assertThat(runsOf("at-once"), equalTo(1));
    }

    @Test
    void send_sameKeyOtherContent_refused() throws Exception {
        send(0, "content", "{\"mules\": 1}").join();

        HttpResponse<String> other = send(0, "content", "{\"mules\": 2}").join();

        assertThat(other.statusCode(), equalTo(422));
        assertThat(runsOf("content"), equalTo(1));
    }

    @Test
    void resend_agentKilledWhileCallRuns_outcomeUnknownAndNotRunAgain() throws Exception {
        String key = "agent-killed";
        CompletableFuture<HttpResponse<String>> first = send(0, key, SLOW);
        awaitRun(key);
        sDeployment.process(LEDGER).kill();
        sDeployment.process(LEDGER).restart();
        Await.until("the new agent", TIMEOUT, () -> isServed("after-agent-killed"));

        for (HttpResponse<String> response : List.of(first.join(), send(0, key, SLOW).join())) {
            assertThat(response.body(), response.statusCode(), equalTo(502));
            assertThat(response.headers().firstValue("Sequoia-Not-Run").isPresent(), is(false));
        }
        assertThat(runsOf(key), equalTo(1));
    }

    @Test
    void resend_ledgerKilledWhileCallRuns_outcomeUnknownAndNotRunAgain() throws Exception {
        String key = "ledger-killed";
        CompletableFuture<HttpResponse<String>> first = send(0, key, SLOW);
        awaitRun(key);
        sDeployment.process(LEDGER + "-stand-in").kill();
        sDeployment.process(LEDGER + "-stand-in").restart();
        // The stand-in counts runs in memory, so the count is zero after a restart.
        Await.until("the ledger", TIMEOUT, () -> runsOf(key) == 0);

        assertThat(first.join().statusCode(), equalTo(502));
        assertThat(send(0, key, SLOW).join().statusCode(), equalTo(502));
        assertThat(runsOf(key), equalTo(0));
    }

    private boolean isServed(String key) throws Exception {
        return send(0, key, "{}").join().statusCode() == 201;
    }

    private void awaitEntry(int entry) {
        Await.until(
                "entry " + entry,
                TIMEOUT,
                () -> send(entry, "ready-" + entry, "{}").join().statusCode() == 201);
    }

    private void awaitRun(String key) {
        Await.until("the run of " + key, TIMEOUT, () -> runsOf(key) == 1);
    }

    private CompletableFuture<HttpResponse<String>> send(int entry, String key, String body) {
        String address = TOPOLOGY.entryVms().get(entry).data();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + "/services/ledger/entries"))
                        .header("Authorization", "Bearer " + Deployment.CALLER_TOKEN)
                        .header("Idempotency-Key", key)
                        .timeout(TIMEOUT)
                        .POST(BodyPublishers.ofString(body))
                        .build();
        return mClient.sendAsync(request, BodyHandlers.ofString());
    }

    private int runsOf(String key) throws Exception {
        String address = TOPOLOGY.endpointVms("ledger").get(0).standIn();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + "/admin/runs")).build();
        String runs = mClient.send(request, BodyHandlers.ofString()).body();
        return JsonMapper.builder().build().readTree(runs).path(key).asInt();
    }
}
