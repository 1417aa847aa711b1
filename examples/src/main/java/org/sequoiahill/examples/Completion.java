package org.sequoiahill.examples;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** One streamed completion: tokens that name the prompt and the weights they come from. */
final class Completion {
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

    void start(String prompt, int tokens, Callback callback) {
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        schedule(prompt, 0, tokens, callback);
    }

    private void schedule(String prompt, int token, int tokens, Callback callback) {
        mScheduler.schedule(
                () -> emit(prompt, token, tokens, callback), mTokenMillis, TimeUnit.MILLISECONDS);
    }

    private void emit(String prompt, int token, int tokens, Callback callback) {
        if (token == tokens) {
            mResponse.write(true, event("[DONE]"), callback);
            return;
        }
        ObjectNode chunk = MAPPER.createObjectNode();
        chunk.put("object", "text_completion");
        chunk.put("system_fingerprint", mFingerprint);
        chunk.putArray("choices").addObject().put("text", prompt + "#" + token + " ");
        mResponse.write(
                false,
                event(chunk.toString()),
                Callback.from(
                        () -> schedule(prompt, token + 1, tokens, callback), callback::failed));
    }

    private static ByteBuffer event(String data) {
        return ByteBuffer.wrap(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
