package org.sequoiahill.bench.calls;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import org.sequoiahill.bench.Experiment;
import org.sequoiahill.bench.processes.Await;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.Topology;
import org.sequoiahill.bench.processes.Topology.DataCentre;
import org.sequoiahill.bench.processes.Topology.Endpoints;
import org.sequoiahill.bench.processes.Topology.Kind;

/** Measures the latency that a claim adds to a call, and the call rate, with three stores. */
@Parameters(commandDescription = "latency that a claim adds to an at-most-once call")
public final class OnceExperiment implements Experiment {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int WARM_UP_CALLS = 200;
    private static final int CREATED = 201;

    @Parameter(names = "--calls", description = "number of calls with a key, and of calls without")
    private int mCalls = 2_000;

    @Parameter(names = "--workers", description = "number of concurrent calls")
    private int mWorkers = 4;

    @Parameter(names = "--prefix", description = "first two octets of the addresses used")
    private String mPrefix = "127.24";

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final AtomicInteger mFailed = new AtomicInteger();

    @Override
    public boolean run() throws Exception {
        Path folder = Files.createTempDirectory("once");
        Topology topology =
                new Topology(
                        mPrefix,
                        List.of(
                                dataCentre("ne-a", List.of(ledger())),
                                dataCentre("ma-a", List.of()),
                                dataCentre("gl-a", List.of())),
                        3);
        try (Deployment deployment = Deployment.start(folder, topology, settings -> {})) {
            deployment.apply("ledger", deployment.ledgerDocument("ledger"));
            deployment.awaitServing("ledger", "", 1, TIMEOUT);
            String address = topology.entryVms().get(0).data();
            Await.until("a first claim", TIMEOUT, () -> call(address, true) == CREATED);
            measure(address, true, WARM_UP_CALLS);
            measure(address, false, WARM_UP_CALLS);
            print("without a key", measure(address, false, mCalls));
            print("with a key", measure(address, true, mCalls));
        }
        System.out.printf("failed calls: %d%n", mFailed.get());
        return mFailed.get() == 0;
    }

    private static DataCentre dataCentre(String name, List<Endpoints> endpoints) {
        return new DataCentre(name, 1, endpoints);
    }

    private static Endpoints ledger() {
        return new Endpoints("ledger", Kind.LEDGER, 1, 64);
    }

    private record Series(Histogram micros, Duration time) {}

    private Series measure(String address, boolean hasKey, int calls) throws Exception {
        Histogram micros = new SynchronizedHistogram(3);
        ExecutorService workers = Executors.newFixedThreadPool(mWorkers);
        long start = System.nanoTime();
        for (int i = 0; i < calls; i++) {
            workers.execute(() -> micros.recordValue(timedCallMicros(address, hasKey)));
        }
        workers.shutdown();
        workers.awaitTermination(10, TimeUnit.MINUTES);
        return new Series(micros, Duration.ofNanos(System.nanoTime() - start));
    }

    private long timedCallMicros(String address, boolean hasKey) {
        long start = System.nanoTime();
        try {
            if (call(address, hasKey) != CREATED) {
                mFailed.incrementAndGet();
            }
        } catch (IOException | InterruptedException e) {
            mFailed.incrementAndGet();
        }
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
    }

    private int call(String address, boolean hasKey) throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + "/services/ledger/entries"))
                        .header("Authorization", "Bearer " + Deployment.CALLER_TOKEN)
                        .timeout(TIMEOUT)
                        .POST(BodyPublishers.ofString("{}"));
        if (hasKey) {
            request.header("Idempotency-Key", UUID.randomUUID().toString());
        }
        return mClient.send(request.build(), BodyHandlers.discarding()).statusCode();
    }

    private static void print(String name, Series series) {
        double seconds = series.time().toNanos() / 1e9;
        Histogram micros = series.micros();
        System.out.printf(
                "{\"series\": \"%s\", \"calls\": %d, \"calls_a_second\": %.0f,"
                        + " \"p50_ms\": %.2f, \"p95_ms\": %.2f, \"p99_ms\": %.2f}%n",
                name,
                micros.getTotalCount(),
                micros.getTotalCount() / seconds,
                micros.getValueAtPercentile(50) / 1e3,
                micros.getValueAtPercentile(95) / 1e3,
                micros.getValueAtPercentile(99) / 1e3);
    }
}
