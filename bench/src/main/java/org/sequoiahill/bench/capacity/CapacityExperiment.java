package org.sequoiahill.bench.capacity;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahill.bench.Experiment;
import org.sequoiahill.bench.capacity.CapacitySeries.EndpointSample;
import org.sequoiahill.bench.capacity.CapacitySeries.RequestSample;
import org.sequoiahill.bench.capacity.LinearFit.Point;

/** Measures how the usage of each role grows with size; the capacity page is derived from it. */
@Parameters(commandDescription = "growth of CPU, memory and control bytes with size")
public final class CapacityExperiment implements Experiment {
    @Parameter(names = "--endpoints", description = "numbers of announced endpoints")
    private List<Integer> mEndpoints = List.of(10, 30, 100, 300);

    @Parameter(names = "--entries", description = "numbers of entries, multiples of five up to 50")
    private List<Integer> mEntries = List.of(5, 15, 50);

    @Parameter(names = "--workers", description = "numbers of concurrent requests")
    private List<Integer> mWorkers = List.of(2, 4, 8, 16);

    @Parameter(
            names = "--tokens",
            description = "numbers of tokens of a request, with eight concurrent requests")
    private List<Integer> mTokens = List.of(4, 16, 64);

    @Parameter(names = "--series", description = "series to measure: endpoints, entries, requests")
    private List<String> mSeries = List.of("endpoints", "entries", "requests");

    @Parameter(
            names = "--settle-seconds",
            description = "time in seconds that a deployment settles before it is measured")
    private int mSettleSeconds = 10;

    @Parameter(names = "--window-seconds", description = "length of each measurement in seconds")
    private int mWindowSeconds = 10;

    @Parameter(names = "--prefix", description = "first two octets of the addresses used")
    private String mPrefix = "127.40";

    @Parameter(names = "--json", description = "output file for the fits, as JSON")
    private String mJson = "";

    private final Map<String, LinearFit> mFits = new LinkedHashMap<>();
    private final PrintStream mOut = System.out;

    @Override
    public boolean run() throws Exception {
        Path folder = Files.createTempDirectory("capacity");
        try (MetricsReader metrics = MetricsReader.start()) {
            CapacitySeries series =
                    new CapacitySeries(
                            folder,
                            mPrefix,
                            Duration.ofSeconds(mSettleSeconds),
                            Duration.ofSeconds(mWindowSeconds),
                            metrics);
            if (mSeries.contains("endpoints")) {
                measureEndpoints(series);
            }
            if (mSeries.contains("entries")) {
                measureEntries(series);
            }
            if (mSeries.contains("requests")) {
                measureRequests(series);
            }
        }
        mFits.forEach(
                (name, fit) ->
                        mOut.printf(
                                "%-40s %14.6g per unit (error %.2g), %14.6g at zero%n",
                                name, fit.slope(), fit.slopeError(), fit.intercept()));
        writeJson();
        return true;
    }

    private void measureEndpoints(CapacitySeries series) throws Exception {
        List<Sample> entry = new ArrayList<>();
        List<Sample> agent = new ArrayList<>();
        List<Sample> store = new ArrayList<>();
        for (int endpoints : mEndpoints) {
            EndpointSample sample = series.sampleEndpoints(endpoints);
            entry.add(print("entry, endpoints announced", sample.entry()));
            agent.add(print("agent, endpoints announced", sample.agent()));
            store.add(print("store, endpoints announced", sample.store()));
        }
        fit("entry", "endpoint", entry);
        fit("agent", "endpoint", agent);
        fit("store", "endpoint", store);
    }

    private void measureEntries(CapacitySeries series) throws Exception {
        List<Sample> entry = new ArrayList<>();
        for (int entries : mEntries) {
            entry.add(print("entry, total entries", series.sampleEntries(entries)));
        }
        fit("entry", "entry", entry);
    }

    private void measureRequests(CapacitySeries series) throws Exception {
        List<Point> entry = new ArrayList<>();
        List<Point> agent = new ArrayList<>();
        for (int workers : mWorkers) {
            RequestSample sample = print(workers, 1, series.sampleRequests(workers, 1));
            entry.add(new Point(sample.requestsPerSecond(), sample.entryCores()));
            agent.add(new Point(sample.requestsPerSecond(), sample.agentCores()));
        }
        mFits.put("entry.cores.request", LinearFit.through(entry));
        mFits.put("agent.cores.request", LinearFit.through(agent));
        measureTokens(series);
    }

    private void measureTokens(CapacitySeries series) throws Exception {
        List<Point> entry = new ArrayList<>();
        List<Point> agent = new ArrayList<>();
        for (int tokens : mTokens) {
            RequestSample sample = print(8, tokens, series.sampleRequests(8, tokens));
            double rate = sample.requestsPerSecond();
            entry.add(new Point(tokens, sample.entryCores() / rate));
            agent.add(new Point(tokens, sample.agentCores() / rate));
        }
        mFits.put("entry.cpu_seconds_per_request.token", LinearFit.through(entry));
        mFits.put("agent.cpu_seconds_per_request.token", LinearFit.through(agent));
    }

    private void fit(String role, String unit, List<Sample> samples) {
        mFits.put(role + ".cores." + unit, LinearFit.through(points(samples, Sample::cores)));
        mFits.put(
                role + ".bytes_per_second." + unit,
                LinearFit.through(points(samples, Sample::bytesPerSecond)));
        mFits.put(
                role + ".resident_bytes." + unit,
                LinearFit.through(points(samples, Sample::residentBytes)));
    }

    private static List<Point> points(
            List<Sample> samples, java.util.function.ToDoubleFunction<Sample> value) {
        return samples.stream().map(s -> new Point(s.size(), value.applyAsDouble(s))).toList();
    }

    private Sample print(String label, Sample sample) {
        mOut.printf(
                "%-30s %5.0f: %.5f cores, %8.0f control B/s, %6.1f MiB resident%n",
                label,
                sample.size(),
                sample.cores(),
                sample.bytesPerSecond(),
                sample.residentBytes() / (1 << 20));
        return sample;
    }

    private RequestSample print(int workers, int tokens, RequestSample sample) {
        mOut.printf(
                "%2d concurrent, %2d tokens: %8.1f requests/s, entry %.4f cores, agent %.4f"
                        + " cores%n",
                workers,
                tokens,
                sample.requestsPerSecond(),
                sample.entryCores(),
                sample.agentCores());
        return sample;
    }

    private void writeJson() throws IOException {
        JsonMapper mapper = JsonMapper.builder().build();
        ObjectNode root = mapper.createObjectNode();
        mFits.forEach(
                (name, fit) ->
                        root.putObject(name)
                                .put("slope", fit.slope())
                                .put("slopeError", fit.slopeError())
                                .put("intercept", fit.intercept()));
        mOut.println(root);
        if (!mJson.isEmpty()) {
            Files.writeString(Path.of(mJson), root.toPrettyString());
        }
    }
}
