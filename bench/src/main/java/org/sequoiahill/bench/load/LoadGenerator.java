package org.sequoiahill.bench.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.sequoiahill.bench.load.LoadCounts.Verdict;

/** Sends completions and ledger calls to entries until stopped, and checks each response. */
public final class LoadGenerator {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final long PAUSE_MILLIS = 20;
    private static final int TIMEOUT_SECONDS = 60;

    @Parameter(names = "--entries", description = "data addresses of entries", required = true)
    private List<String> mEntries = new ArrayList<>();

    @Parameter(names = "--service", description = "service that receives the completions")
    private String mService = "";

    @Parameter(
            names = "--ledger",
            description = "service whose calls must run at most once; one in four workers calls it")
    private String mLedger = "";

    @Parameter(names = "--ledger-admin", description = "address of the ledger's record of calls")
    private String mLedgerAdmin = "";

    @Parameter(names = "--token", description = "bearer token of the organisation")
    private String mToken = "";

    @Parameter(names = "--digests", description = "manifest digests that responses may come from")
    private List<String> mDigests = new ArrayList<>();

    @Parameter(names = "--workers", description = "number of concurrent requests")
    private int mWorkers = 8;

    @Parameter(names = "--tokens", description = "number of tokens of a completion")
    private int mTokens = 16;

    @Parameter(names = "--stop-file", description = "stop once this file exists")
    private String mStopFile = "";

    private volatile boolean mIsStopped;

    private final LoadCounts mCounts = LoadCounts.create();
    private final Set<String> mAcknowledged = ConcurrentHashMap.newKeySet();
    private final Set<String> mRefused = ConcurrentHashMap.newKeySet();
    private final HttpClient mClient = new HttpClient();

    private CompletableFuture<Void> mCompletion = CompletableFuture.completedFuture(null);

    private LoadGenerator() {}

    /** Starts a load in this process; the arguments are those of the command line. */
    public static LoadGenerator start(String... args) {
        LoadGenerator generator = new LoadGenerator();
        JCommander.newBuilder().addObject(generator).build().parse(args);
        generator.mCompletion =
                CompletableFuture.runAsync(
                        generator::runUnchecked, task -> new Thread(task).start());
        return generator;
    }

    /** Stops the load, waits for running requests, and returns the counts of all requests. */
    public LoadCounts stop() {
        mIsStopped = true;
        mCompletion.join();
        return mCounts;
    }

    /** Returns the counts so far. */
    public LoadCounts counts() {
        return mCounts;
    }

    /** Runs the load and prints the counts as one line of JSON. */
    public static void main(String[] args) throws Exception {
        LoadGenerator generator = new LoadGenerator();
        JCommander.newBuilder().programName("load").addObject(generator).build().parse(args);
        generator.run();
        System.out.println(generator.mCounts.toJson());
        System.exit(generator.mCounts.isClean() ? 0 : 1);
    }

    private void runUnchecked() {
        try {
            run();
        } catch (Exception e) {
            throw new CompletionException(e);
        }
    }

    private void run() throws Exception {
        mClient.setMaxConnectionsPerDestination(mWorkers);
        mClient.start();
        ExecutorService workers = Executors.newFixedThreadPool(mWorkers);
        for (int i = 0; i < mWorkers; i++) {
            boolean usesLedger = !mLedger.isEmpty() && i % 4 == 0;
            workers.execute(() -> runWorker(usesLedger));
        }
        workers.shutdown();
        workers.awaitTermination(1, TimeUnit.HOURS);
        if (!mLedgerAdmin.isEmpty()) {
            checkLedger();
        }
        mClient.stop();
    }

    private boolean isStopped() {
        return mIsStopped || (!mStopFile.isEmpty() && Files.exists(Path.of(mStopFile)));
    }

    private void runWorker(boolean usesLedger) {
        try {
            while (!isStopped()) {
                Verdict verdict = usesLedger ? callLedger() : requestCompletion();
                mCounts.add(verdict);
                if (verdict != Verdict.ANSWERED) {
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Request request(String service, String route, String body) {
        String entry = mEntries.get(ThreadLocalRandom.current().nextInt(mEntries.size()));
        return mClient.POST("http://" + entry + "/services/" + service + route)
                .headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + mToken))
                .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .body(new StringRequestContent("application/json", body));
    }

    private Verdict callLedger() throws InterruptedException {
        String key = UUID.randomUUID().toString();
        try {
            ContentResponse response =
                    request(mLedger, "/entries", "{}")
                            .headers(headers -> headers.put("Idempotency-Key", key))
                            .send();
            if (response.getStatus() == 201) {
                mAcknowledged.add(key);
                return Verdict.ANSWERED;
            }
            Verdict verdict = errorVerdict(response);
            if (verdict == Verdict.REFUSED_NOT_RUN) {
                mRefused.add(key);
            }
            return verdict;
        } catch (ExecutionException e) {
            return failureVerdict(e);
        } catch (TimeoutException e) {
            return Verdict.LOST;
        }
    }

    private Verdict requestCompletion() throws InterruptedException {
        String prompt = UUID.randomUUID().toString();
        String body =
                MAPPER.createObjectNode()
                        .put("prompt", prompt)
                        .put("max_tokens", mTokens)
                        .put("stream", true)
                        .toString();
        long start = System.nanoTime();
        InputStreamResponseListener listener = new InputStreamResponseListener();
        request(mService, "/v1/completions", body).send(listener);
        try {
            Response response = listener.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            mCounts.recordFirstByte(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start));
            if (response.getStatus() != 200) {
                listener.getInputStream().readAllBytes();
                return errorVerdict(response);
            }
            return checkCompletion(prompt, response.getHeaders().get("Sequoia-Weights"), listener);
        } catch (ExecutionException e) {
            return failureVerdict(e);
        } catch (TimeoutException e) {
            return Verdict.LOST;
        } catch (IOException e) {
            return Verdict.CUT;
        }
    }

    private Verdict checkCompletion(
            String prompt, String weights, InputStreamResponseListener listener)
            throws IOException {
        Set<String> fingerprints = new HashSet<>();
        fingerprints.add(weights);
        int tokens = 0;
        boolean isDone = false;
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(listener.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (line.equals("event: error")) {
                    return Verdict.TOLD;
                }
                if (line.equals("data: [DONE]")) {
                    isDone = true;
                } else if (line.startsWith("data: ")) {
                    JsonNode event = MAPPER.readTree(line.substring("data: ".length()));
                    fingerprints.add(event.path("system_fingerprint").asText());
                    String text = event.path("choices").path(0).path("text").asText();
                    if (!text.equals(prompt + "#" + tokens + " ")) {
                        return Verdict.CROSSED;
                    }
                    tokens++;
                }
            }
        }
        if (!isDone || tokens != mTokens) {
            return Verdict.CUT;
        }
        boolean isOneExpectedVersion =
                fingerprints.size() == 1 && mDigests.containsAll(fingerprints);
        return isOneExpectedVersion ? Verdict.ANSWERED : Verdict.MIXED;
    }

    private static Verdict failureVerdict(ExecutionException failure) {
        boolean isRefused = failure.getCause() instanceof ConnectException;
        return isRefused ? Verdict.NOT_CONNECTED : Verdict.LOST;
    }

    private static Verdict errorVerdict(Response response) {
        return response.getHeaders().contains("Sequoia-Not-Run")
                ? Verdict.REFUSED_NOT_RUN
                : Verdict.OUTCOME_UNKNOWN;
    }

    private void checkLedger() throws Exception {
        ContentResponse response = mClient.GET("http://" + mLedgerAdmin + "/admin/runs");
        JsonNode runs = MAPPER.readTree(response.getContent());
        for (JsonNode count : runs) {
            if (count.asInt() > 1) {
                mCounts.add(Verdict.DOUBLED);
            }
        }
        for (String key : mRefused) {
            if (runs.has(key)) {
                mCounts.add(Verdict.FALSE_NOT_RUN);
            }
        }
        for (String key : mAcknowledged) {
            if (!runs.has(key)) {
                mCounts.add(Verdict.LOST);
            }
        }
    }
}
