package org.sequoiahill.examples;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/** One streamed completion, whose events contain the prompt and the digest of the weights. */
final class Completion {
    /** Header with the id of a request, which the response echoes. */
    static final String REQUEST_ID = "X-Request-Id";

    private static final int CRASH_STATUS = 70;
    private static final int TOKENS_BEFORE_CUT = 3;
    private static final int LATE_START_SECONDS = 3;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final ScheduledExecutorService mScheduler;
    private final int mTokenMillis;
    private final String mFingerprint;
    private final Response mResponse;

    Completion(
            ScheduledExecutorService scheduler,
            int tokenMillis,
            String fingerprint,
            Response response) {
        mScheduler = scheduler;
        mTokenMillis = tokenMillis;
        mFingerprint = fingerprint;
        mResponse = response;
    }

    /**
     * Content of a completion, and its fault.
     *
     * @param prompt text that each token contains
     * @param from index of the first token; above 0 to resume an interrupted completion
     * @param tokens number of tokens of the complete completion
     * @param fault fault to inject
     */
    record Plan(String prompt, int from, int tokens, EngineFaults.Kind fault) {}

    void start(@Nullable String requestId, Plan plan, Callback callback) {
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        if (requestId != null) {
            mResponse.getHeaders().put(REQUEST_ID, requestId);
        }
        switch (plan.fault()) {
            case SILENT -> {}
            case CRASH -> Runtime.getRuntime().halt(CRASH_STATUS);
            case CROSSED -> {
                mResponse.getHeaders().put(REQUEST_ID, "another-request");
                Plan other = new Plan("another prompt", 0, plan.tokens(), EngineFaults.Kind.NONE);
                schedule(other, 0, callback);
            }
            case LATE ->
                    mScheduler.schedule(
                            () -> emit(plan, plan.from(), callback),
                            LATE_START_SECONDS,
                            TimeUnit.SECONDS);
            default -> schedule(plan, plan.from(), callback);
        }
    }

    private void schedule(Plan plan, int token, Callback callback) {
        mScheduler.schedule(() -> emit(plan, token, callback), mTokenMillis, TimeUnit.MILLISECONDS);
    }

    private void emit(Plan plan, int token, Callback callback) {
        if (token == plan.tokens()) {
            mResponse.write(true, event("[DONE]"), callback);
            return;
        }
        if (plan.fault() == EngineFaults.Kind.CUT && token == plan.from() + TOKENS_BEFORE_CUT) {
            callback.failed(new IOException("the stream was cut by an injected fault"));
            return;
        }
        ObjectNode chunk = MAPPER.createObjectNode();
        chunk.put("object", "text_completion");
        chunk.put("system_fingerprint", mFingerprint);
        chunk.putArray("choices").addObject().put("text", plan.prompt() + "#" + token + " ");
        mResponse.write(
                false,
                event(chunk.toString()),
                Callback.from(() -> schedule(plan, token + 1, callback), callback::failed));
    }

    private static ByteBuffer event(String data) {
        return ByteBuffer.wrap(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
