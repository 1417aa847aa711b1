package org.sequoiahill.daemon.request.once;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;

/** Encodes and decodes the JSON in which an agent responds to a request to bar an attempt. */
final class BarVerdictCodec {
    /** Path of requests to bar an attempt. */
    static final String PATH = "/run-once/bar";

    /** Maximum size of a message in bytes: covers a Base64-encoded response body and its JSON. */
    static final int MAX_BYTES = 2 * RecordedResponse.MAX_BODY_BYTES;

    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private BarVerdictCodec() {}

    static byte[] encode(BarVerdict verdict) throws JacksonException {
        ObjectNode message = MAPPER.createObjectNode();
        message.put("verdict", verdict.getClass().getSimpleName());
        if (verdict instanceof BarVerdict.Done done) {
            RecordedResponse response = done.response();
            byte[] body = new byte[response.body().remaining()];
            response.body().slice().get(body);
            message.put("status", response.status());
            message.put("contentType", response.contentType());
            message.put("body", body);
        }
        return MAPPER.writeValueAsBytes(message);
    }

    /** Decodes a message; empty if it is malformed. */
    static Optional<BarVerdict> decode(byte[] bytes) {
        try {
            JsonNode message = MAPPER.readTree(bytes);
            return switch (message.path("verdict").asText()) {
                case "Barred" -> Optional.of(new BarVerdict.Barred());
                case "Running" -> Optional.of(new BarVerdict.Running());
                case "Lost" -> Optional.of(new BarVerdict.Lost());
                case "Forgotten" -> Optional.of(new BarVerdict.Forgotten());
                case "OtherIncarnation" -> Optional.of(new BarVerdict.OtherIncarnation());
                case "Done" -> Optional.of(new BarVerdict.Done(responseOf(message)));
                default -> Optional.empty();
            };
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static RecordedResponse responseOf(JsonNode message) throws IOException {
        return RecordedResponse.of(
                message.path("status").asInt(),
                message.path("contentType").asText(),
                message.path("body").binaryValue());
    }
}
