package org.sequoiahill.daemon.request.once;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;

/** The JSON form in which an agent answers a bar. */
final class BarVerdictCodec {
    /** Path at which an agent is asked to bar an attempt. */
    static final String PATH = "/run-once/bar";

    /** Largest message, in bytes: an answer in base 64 and its frame. */
    static final int MAX_BYTES = 2 * RecordedResponse.MAX_BODY_BYTES;

    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private BarVerdictCodec() {}

    static byte[] encode(BarVerdict verdict) throws JacksonException {
        ObjectNode message = MAPPER.createObjectNode();
        message.put("verdict", verdict.getClass().getSimpleName());
        if (verdict instanceof BarVerdict.Done done) {
            RecordedResponse answer = done.response();
            byte[] body = new byte[answer.body().remaining()];
            answer.body().slice().get(body);
            message.put("status", answer.status());
            message.put("contentType", answer.contentType());
            message.put("body", body);
        }
        return MAPPER.writeValueAsBytes(message);
    }

    /** Parses a message; empty where it is malformed. */
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
