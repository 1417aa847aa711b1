package org.sequoiahill.cli;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.UnaryOperator;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/** HTTP client of a daemon's operators' API. */
public final class OperatorClient implements AutoCloseable {
    private static final int TIMEOUT_SECONDS = 10;
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    private final List<String> mServers;
    private final String mToken;
    private final HttpClient mClient = new HttpClient();

    private OperatorClient(List<String> servers, String token) {
        mServers = servers;
        mToken = token;
    }

    /**
     * Returns a client of daemons, which are tried in order.
     *
     * @param servers addresses as host:port, separated by commas
     */
    public static OperatorClient connect(String servers, String token) throws Exception {
        OperatorClient client = new OperatorClient(List.of(servers.split(",", -1)), token);
        client.mClient.start();
        return client;
    }

    /** Signals that no server sent a complete response. */
    public static final class UnreachableException extends IOException {
        private static final long serialVersionUID = 1;

        UnreachableException(String message) {
            super(message);
        }
    }

    /**
     * A response of the daemon.
     *
     * @param status HTTP status
     * @param body JSON body
     */
    public record Response(int status, JsonNode body) {
        /** Returns whether the request succeeded. */
        public boolean isOk() {
            return status == 200;
        }
    }

    /** Sends a GET request to a path below {@code /operators/}. */
    public Response read(String path) throws IOException, InterruptedException {
        return send(path, request -> request);
    }

    /** Sends a request without a body to a path below {@code /operators/}. */
    public Response call(HttpMethod method, String path) throws IOException, InterruptedException {
        return send(path, request -> request.method(method));
    }

    /** Replaces a document; resending with the same change id is idempotent. */
    public Response change(String path, long replaces, String changeId, String document)
            throws IOException, InterruptedException {
        return send(
                path,
                request ->
                        request.method(HttpMethod.PUT)
                                .param("replaces", Long.toString(replaces))
                                .headers(headers -> headers.put("Sequoia-Change-Id", changeId))
                                .body(new StringRequestContent("application/json", document)));
    }

    /**
     * Tries each server in order until one responds with another status than 503. If none does,
     * returns the last response with status 503.
     *
     * @throws UnreachableException if no server sent a complete response
     */
    private Response send(String path, UnaryOperator<Request> customize)
            throws IOException, InterruptedException {
        Optional<Response> unavailable = Optional.empty();
        List<String> failures = new ArrayList<>();
        for (String server : mServers) {
            Request request = mClient.newRequest("http://" + server + "/operators/" + path);
            try {
                Response response = send(customize.apply(request));
                if (response.status() != HttpStatus.SERVICE_UNAVAILABLE_503) {
                    return response;
                }
                unavailable = Optional.of(response);
            } catch (ExecutionException | TimeoutException e) {
                failures.add(server + " can't be reached: " + e.getMessage());
            }
        }
        return unavailable.orElseThrow(() -> new UnreachableException(String.join("; ", failures)));
    }

    private Response send(Request request)
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        ContentResponse httpResponse =
                request.headers(h -> h.put(HttpHeader.AUTHORIZATION, "Bearer " + mToken))
                        .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .send();
        Response response =
                new Response(httpResponse.getStatus(), MAPPER.readTree(httpResponse.getContent()));
        if (response.isOk() && response.body().isMissingNode()) {
            throw new IOException("the response to " + request.getURI() + " has no body");
        }
        return response;
    }

    @Override
    public void close() {
        try {
            mClient.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop the HTTP client", e);
        }
    }
}
