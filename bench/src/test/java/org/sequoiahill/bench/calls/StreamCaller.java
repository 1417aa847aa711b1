package org.sequoiahill.bench.calls;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.sequoiahill.bench.processes.Deployment;
import org.sequoiahill.bench.processes.Topology.Vm;

/** Requests completions from entries, and injects faults at stand-in engines. */
final class StreamCaller {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient mClient = HttpClient.newHttpClient();

    /**
     * Requests a completion and returns the complete response.
     *
     * @throws IOException if the response is cut off
     */
    HttpResponse<String> complete(Vm entry, String service, String prompt, int tokens)
            throws IOException, InterruptedException {
        String body = "{\"prompt\": \"%s\", \"max_tokens\": %d}".formatted(prompt, tokens);
        return post(entry.data() + "/services/" + service + "/v1/completions", body);
    }

    /** Makes an engine fail the next {@code count} completions whose prompt has the marker. */
    void injectFault(Vm engine, String kind, String marker, int count)
            throws IOException, InterruptedException {
        String body =
                "{\"kind\": \"%s\", \"marker\": \"%s\", \"count\": %d}"
                        .formatted(kind, marker, count);
        post(engine.standIn() + "/admin/request-fault", body);
    }

    /**
     * Returns the texts of all events of a response, without the digest of the weights; an event
     * without a text, such as the last, is returned as its line.
     */
    static String tokensOf(HttpResponse<String> response) {
        StringBuilder tokens = new StringBuilder();
        response.body()
                .lines()
                .filter(line -> line.startsWith("data: "))
                .map(line -> line.replaceAll(".*\"text\":\"([^\"]*)\".*", "$1"))
                .forEach(tokens::append);
        return tokens.toString();
    }

    private HttpResponse<String> post(String path, String body)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + path))
                        .header("Authorization", "Bearer " + Deployment.CALLER_TOKEN)
                        .timeout(TIMEOUT)
                        .POST(BodyPublishers.ofString(body))
                        .build();
        return mClient.send(request, BodyHandlers.ofString());
    }
}
