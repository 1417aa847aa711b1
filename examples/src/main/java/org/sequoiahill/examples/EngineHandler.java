package org.sequoiahill.examples;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sequoiahill.protocol.json.ParseResult;
import org.sequoiahill.protocol.weights.Digests;
import org.sequoiahill.protocol.weights.Manifest;
import org.sequoiahill.protocol.weights.Manifest.WeightFile;

/** Serves the completions, loads and fault injection of one stand-in engine. */
final class EngineHandler extends Handler.Abstract {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String OTHER_DIGEST = "other";
    private static final String RESUME_FROM = "Sequoia-Resume-From";
    private static final int DEFAULT_TOKENS = 16;

    private final StandInEngine.Arguments mArguments;
    private final ScheduledExecutorService mScheduler;
    private final EngineFaults mFaults = new EngineFaults();
    private final AtomicInteger mRunning = new AtomicInteger();
    private final List<String> mLoaded = new ArrayList<>();
    private volatile String mVersionDigest = "";
    private volatile boolean mIsSilentOnLoads;
    private volatile boolean mIsReportingOtherVersion;
    private long mHighestFence;

    EngineHandler(StandInEngine.Arguments arguments, ScheduledExecutorService scheduler) {
        mArguments = arguments;
        mScheduler = scheduler;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback)
            throws IOException {
        switch (Request.getPathInContext(request)) {
            case "/health" -> StandInServer.sendJson(response, callback, 200, "{}");
            case "/admin/fault" -> {
                JsonNode fault = MAPPER.readTree(Content.Source.asInputStream(request));
                mIsSilentOnLoads = fault.path("silentOnOrders").asBoolean();
                mIsReportingOtherVersion = fault.path("reportsOther").asBoolean();
                StandInServer.sendJson(response, callback, 200, "{}");
            }
            case "/admin/state" -> StandInServer.sendJson(response, callback, 200, state());
            case "/admin/load" -> {
                JsonNode loadRequest = MAPPER.readTree(Content.Source.asInputStream(request));
                mScheduler.schedule(
                        () -> load(loadRequest, response, callback),
                        mArguments.loadMillis(),
                        TimeUnit.MILLISECONDS);
            }
            case "/v1/completions" -> {
                JsonNode body = MAPPER.readTree(Content.Source.asInputStream(request));
                Completion.Plan plan =
                        new Completion.Plan(
                                body.path("prompt").asText(),
                                resumeFrom(request, response),
                                body.path("max_tokens").asInt(DEFAULT_TOKENS),
                                mFaults.next(body.path("prompt").asText()));
                new Completion(mScheduler, mArguments.tokenMillis(), mVersionDigest, response)
                        .start(
                                request.getHeaders().get(Completion.REQUEST_ID),
                                plan,
                                countRunning(callback));
            }
            case "/admin/request-fault" -> {
                mFaults.add(MAPPER.readTree(Content.Source.asInputStream(request)));
                StandInServer.sendJson(response, callback, 200, state());
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Returns the index of the token to resume from, and echoes it in the response. */
    private static int resumeFrom(Request request, Response response) {
        String from = request.getHeaders().get(RESUME_FROM);
        if (from == null) {
            return 0;
        }
        response.getHeaders().put(RESUME_FROM, from);
        return Integer.parseInt(from);
    }

    private Callback countRunning(Callback callback) {
        mRunning.incrementAndGet();
        return Callback.from(callback, mRunning::decrementAndGet);
    }

    private synchronized ObjectNode state() {
        ObjectNode state = MAPPER.createObjectNode();
        state.put("versionDigest", mIsReportingOtherVersion ? OTHER_DIGEST : mVersionDigest);
        state.put("running", mRunning.get());
        ArrayNode loaded = state.putArray("loaded");
        mLoaded.forEach(loaded::add);
        return state;
    }

    private synchronized void load(JsonNode loadRequest, Response response, Callback callback) {
        long fence = loadRequest.path("fence").asLong();
        if (mArguments.checksFencing() && fence < mHighestFence) {
            StandInServer.sendJson(response, callback, 409, "{\"error\":\"old fencing number\"}");
            return;
        }
        if (mIsSilentOnLoads) {
            return;
        }
        mHighestFence = Math.max(fence, mHighestFence);
        mVersionDigest = digestOf(Path.of(loadRequest.path("folder").asText()));
        mLoaded.add(mVersionDigest);
        StandInServer.sendJson(response, callback, 200, state());
    }

    /**
     * Returns the manifest's digest, or "corrupt" if the manifest or a file can't be read, or a
     * file doesn't match the manifest.
     */
    private static String digestOf(Path folder) {
        try {
            ParseResult<Manifest> manifest =
                    Manifest.parse(Files.readString(folder.resolve("manifest.json")));
            for (WeightFile file : manifest.orElseThrow().files()) {
                byte[] bytes = Files.readAllBytes(folder.resolve(file.name()));
                if (!Digests.of(bytes).equals(file.sha256())) {
                    return "corrupt";
                }
            }
            return manifest.orElseThrow().digest();
        } catch (IOException | IllegalArgumentException e) {
            return "corrupt";
        }
    }
}
