package org.sequoiahill.daemon.version.swap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpStatus;
import org.tinylog.Logger;

/** Sends load orders to this agent's engine, and queries its state. */
public final class EngineClient {
    private static final int LOAD_TIMEOUT_SECONDS = 60;
    private static final int QUERY_TIMEOUT_SECONDS = 2;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final URI mEngine;
    private final HttpClient mClient;

    private EngineClient(URI engine, HttpClient client) {
        mEngine = engine;
        mClient = client;
    }

    /** Returns a client of the engine at a URI. */
    public static EngineClient of(URI engine, HttpClient client) {
        return new EngineClient(engine, client);
    }

    /**
     * Returns the manifest digest that the engine reports as loaded; empty if it reports none, does
     * not respond, or responds with malformed JSON.
     */
    public Optional<String> loadedDigest() throws InterruptedException {
        try {
            ContentResponse response = query("/admin/state");
            JsonNode state = MAPPER.readTree(response.getContent());
            return Optional.ofNullable(state.path("versionDigest").textValue());
        } catch (IOException | ExecutionException | TimeoutException e) {
            Logger.debug("can't read the engine's loaded version: {}", e);
            return Optional.empty();
        }
    }

    /** Returns whether the engine reports that it can serve; false if it does not respond. */
    public boolean isHealthy() throws InterruptedException {
        try {
            return query("/health").getStatus() == HttpStatus.OK_200;
        } catch (ExecutionException | TimeoutException e) {
            Logger.debug("engine does not respond: {}", e);
            return false;
        }
    }

    /**
     * Orders the engine to load a version from a folder.
     *
     * @param version name of the version
     * @param fence fencing number of the order; an engine that checks fencing numbers refuses an
     *     order with an old one
     */
    public LoadOrderResult load(String version, Path folder, long fence)
            throws InterruptedException {
        String order =
                MAPPER.createObjectNode()
                        .put("version", version)
                        .put("folder", folder.toAbsolutePath().toString())
                        .put("fence", fence)
                        .toString();
        try {
            ContentResponse response =
                    mClient.POST(mEngine + "/admin/load")
                            .body(new StringRequestContent("application/json", order))
                            .timeout(LOAD_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                            .send();
            boolean isAccepted = response.getStatus() == HttpStatus.OK_200;
            return isAccepted ? LoadOrderResult.ACCEPTED : LoadOrderResult.REFUSED;
        } catch (ExecutionException e) {
            Logger.warn("load order failed: {}", e.getCause());
            // Without a connection the engine has not received the order, so it has no effect.
            boolean isNotSent = e.getCause() instanceof ConnectException;
            return isNotSent ? LoadOrderResult.REFUSED : LoadOrderResult.UNKNOWN;
        } catch (TimeoutException e) {
            Logger.warn("engine did not respond to the load order in time");
            return LoadOrderResult.UNKNOWN;
        }
    }

    private ContentResponse query(String path)
            throws InterruptedException, ExecutionException, TimeoutException {
        return mClient.newRequest(mEngine + path)
                .timeout(QUERY_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .send();
    }
}
