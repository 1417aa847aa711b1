package org.sequoiahill.bench.calls;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.sequoiahill.bench.Experiment;
import org.sequoiahill.bench.capacity.ProcessUsage;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;
import org.sequoiahill.bench.processes.Topology.Vm;
import org.sequoiahill.protocol.weights.Manifest;

/**
 * Measures the memory of entry and agents, and the latency of active readers, while many other
 * readers have stalled.
 */
@Parameters(commandDescription = "memory and latency while readers are stalled")
public final class SlowReadersExperiment implements Experiment {
    private static final Duration TIMEOUT = Duration.ofSeconds(90);
    private static final long MAX_RESIDENT_BYTES = 256L << 20;
    private static final int RECEIVE_BUFFER_BYTES = 4 << 10;
    private static final int ACTIVE_READER_TOKENS = 8;
    private static final int OK = 200;
    private static final int MAX_ATTEMPTS = 2_000;
    private static final int STATUS_LINE_BYTES = "HTTP/1.1 200".length();
    private static final Duration RETRY_DELAY = Duration.ofMillis(20);

    @Parameter(names = "--readers", description = "number of stalled readers")
    private int mReaders = 1_000;

    @Parameter(names = "--tokens", description = "number of tokens in a stalled reader's stream")
    private int mTokens = 100;

    @Parameter(
            names = "--token-bytes",
            description = "size of the prompt in bytes, which each token repeats")
    private int mTokenBytes = 4_000;

    @Parameter(
            names = "--others",
            description = "number of requests of active readers in each phase")
    private int mOthers = 60;

    @Parameter(names = "--prefix", description = "first two octets of the addresses used")
    private String mPrefix = "127.24";

    private final HttpClient mClient = HttpClient.newHttpClient();
    private int mIncompleteResponses;
    private int mStalledReaderRefusals;

    @Override
    public boolean run() throws Exception {
        Path folder = Files.createTempDirectory("slow-readers");
        Topology topology =
                new Topology(
                        mPrefix,
                        List.of(
                                new DataCentre(
                                        "ne-a",
                                        1,
                                        List.of(new Endpoints("writer", Kind.ENGINE, 2, 256)))),
                        1);
        List<Socket> stalled = new ArrayList<>();
        try (Deployment deployment = Deployment.start(folder, topology, settings -> {})) {
            // 256 KiB of weights in chunks of 4 KiB, generated from seed 7.
            Manifest weights = deployment.publish("writer", "v1", 1 << 18, 1 << 12, 7);
            deployment.apply("writer", deployment.modelDocument("writer", weights));
            deployment.awaitServing("writer", weights.digest(), 2, TIMEOUT);
            Vm entry = topology.entryVms().get(0);
            Histogram before = measureActiveReaders(entry);
            long idleBytes = residentBytes(deployment, entry);
            for (int i = 0; i < mReaders; i++) {
                stalled.add(openStalledReader(entry, i));
            }
            Histogram during = measureActiveReaders(entry);
            return report(deployment, topology, idleBytes, before, during);
        } finally {
            for (Socket socket : stalled) {
                socket.close();
            }
        }
    }

    /** Sends requests until one is accepted, and reads no further than its status. */
    private Socket openStalledReader(Vm entry, int number) throws IOException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            Socket socket = sendRequest(entry, number);
            byte[] status = socket.getInputStream().readNBytes(STATUS_LINE_BYTES);
            if (new String(status, StandardCharsets.US_ASCII).endsWith(" 200")) {
                return socket;
            }
            socket.close();
            mStalledReaderRefusals++;
            LockSupport.parkNanos(RETRY_DELAY.toNanos());
        }
        throw new IOException("reader " + number + " was refused " + MAX_ATTEMPTS + " times");
    }

    private Socket sendRequest(Vm entry, int number) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        String[] address = entry.data().split(":", -1);
        socket.connect(
                new InetSocketAddress(
                        InetAddress.getByName(address[0]), Integer.parseInt(address[1])));
        String body = requestBody(number + "x".repeat(mTokenBytes), mTokens);
        String request =
                "POST /services/writer/v1/completions HTTP/1.1\r\nHost: %s\r\n"
                        + "Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s";
        byte[] bytes =
                request.formatted(entry.data(), Deployment.CALLER_TOKEN, body.length(), body)
                        .getBytes(StandardCharsets.US_ASCII);
        socket.getOutputStream().write(bytes);
        return socket;
    }

    private Histogram measureActiveReaders(Vm entry) throws IOException, InterruptedException {
        Histogram micros = new Histogram(3);
        for (int i = 0; i < mOthers; i++) {
            long start = System.nanoTime();
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://"
                                                    + entry.data()
                                                    + "/services/writer/v1/completions"))
                            .header("Authorization", "Bearer " + Deployment.CALLER_TOKEN)
                            .timeout(TIMEOUT)
                            .POST(
                                    BodyPublishers.ofString(
                                            requestBody("other" + i, ACTIVE_READER_TOKENS)))
                            .build();
            HttpResponse<String> response = mClient.send(request, BodyHandlers.ofString());
            boolean isComplete = response.statusCode() == OK && response.body().contains("[DONE]");
            mIncompleteResponses += isComplete ? 0 : 1;
            micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start));
        }
        return micros;
    }

    private boolean report(
            Deployment deployment,
            Topology topology,
            long idleBytes,
            Histogram before,
            Histogram during)
            throws IOException {
        long entry = residentBytes(deployment, topology.entryVms().get(0));
        long agent = 0;
        for (Vm vm : topology.endpointVms("writer")) {
            agent = Math.max(agent, residentBytes(deployment, vm));
        }
        System.out.printf(
                "{\"readers\": %d, \"reader_refusals\": %d, \"entry_idle_mb\": %d, \"entry_mb\":"
                    + " %d, \"agent_mb\": %d, \"kb_a_stream\": %.1f, \"others_not_whole\": %d}%n",
                mReaders,
                mStalledReaderRefusals,
                idleBytes >> 20,
                entry >> 20,
                agent >> 20,
                (entry - idleBytes) / 1024.0 / mReaders,
                mIncompleteResponses);
        print("others before", before);
        print("others during", during);
        return Math.max(entry, agent) < MAX_RESIDENT_BYTES;
    }

    private static long residentBytes(Deployment deployment, Vm vm) throws IOException {
        return ProcessUsage.residentBytes(deployment.process(vm.name()).pid());
    }

    private static String requestBody(String prompt, int tokens) {
        return "{\"prompt\": \"%s\", \"max_tokens\": %d}".formatted(prompt, tokens);
    }

    private static void print(String name, Histogram micros) {
        System.out.printf(
                "{\"series\": \"%s\", \"p50_ms\": %.1f, \"p95_ms\": %.1f, \"max_ms\": %.1f}%n",
                name,
                micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(95) / 1e3,
                micros.getMaxValue() / 1e3);
    }
}
