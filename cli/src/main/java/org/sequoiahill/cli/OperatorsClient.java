package org.sequoiahill.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;

/** Calls the operators' address of a daemon. */
public final class OperatorsClient implements AutoCloseable {
    private static final int TIMEOUT_SECONDS = 10;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final String mServer;
    private final String mToken;
    private final HttpClient mClient = new HttpClient();

    private OperatorsClient(String server, String token) {
        mServer = server;
        mToken = token;
    }

    /** Returns a client of the daemon at an address. */
    public static OperatorsClient connect(String server, String token) throws Exception {
        OperatorsClient client = new OperatorsClient(server, token);
        client.mClient.start();
        return client;
    }

    /**
     * An answer of the daemon.
     *
     * @param status HTTP status
     * @param body JSON body
     */
    public record Answer(int status, JsonNode body) {
        /** Returns whether the daemon did what was asked. */
        public boolean isOk() {
            return status == 200;
        }
    }

    /** Reads below the operators' path. */
    public Answer read(String path) throws IOException, InterruptedException {
        return send(mClient.newRequest("http://" + mServer + "/operators/" + path));
    }

    /** Replaces a document; the change id makes a resend idempotent. */
    public Answer change(String path, long replaces, String changeId, String document)
            throws IOException, InterruptedException {
        return send(
                mClient.newRequest("http://" + mServer + "/operators/" + path)
                        .method(HttpMethod.PUT)
                        .param("replaces", Long.toString(replaces))
                        .headers(headers -> headers.put("Sequoia-Change-Id", changeId))
                        .body(new StringRequestContent("application/json", document)));
    }

    private Answer send(Request request) throws IOException, InterruptedException {
        try {
            ContentResponse response =
                    request.headers(h -> h.put(HttpHeader.AUTHORIZATION, "Bearer " + mToken))
                            .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                            .send();
            return new Answer(response.getStatus(), MAPPER.readTree(response.getContent()));
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(mServer + " can't be reached: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        try {
            mClient.stop();
        } catch (Exception e) {
            throw new IllegalStateException("an HTTP client that was started can be stopped", e);
        }
    }
}
