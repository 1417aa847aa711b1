package org.sequoiahill.daemon.process.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes the JSON response to an operator's request; to be used once. */
public final class JsonResponse {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String RETRY_AFTER_SECONDS = "1";

    private final Response mResponse;
    private final Callback mCallback;

    private JsonResponse(Response response, Callback callback) {
        mResponse = response;
        mCallback = callback;
    }

    static JsonResponse to(Response response, Callback callback) {
        return new JsonResponse(response, callback);
    }

    /** Returns an empty JSON object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Returns an empty JSON array. */
    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /** Sends a response with status 200. */
    public void ok(JsonNode body) {
        write(HttpStatus.OK_200, body);
    }

    /** Sends an error; the message should name the faulty value and the rule. */
    public void error(int status, String message) {
        write(status, object().put("error", message));
    }

    /** Sends a response with any status; 503 carries Retry-After. */
    public void write(int status, JsonNode body) {
        mResponse.setStatus(status);
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        if (status == HttpStatus.SERVICE_UNAVAILABLE_503) {
            mResponse.getHeaders().put(HttpHeader.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        mResponse.write(true, ByteBuffer.wrap(bytes), mCallback);
    }
}
