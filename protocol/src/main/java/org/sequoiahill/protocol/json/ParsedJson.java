package org.sequoiahill.protocol.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A parsed JSON text, with the line of each value for messages. Comments and trailing commas are
 * allowed, duplicate keys are not.
 */
public final class ParsedJson {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private final JsonNode mRoot;
    private final Map<String, Integer> mLines;

    private ParsedJson(JsonNode root, Map<String, Integer> lines) {
        mRoot = root;
        mLines = lines;
    }

    /** Returns the mapper that parses these texts. */
    public static JsonMapper mapper() {
        return MAPPER;
    }

    /** Parses a text whose root is an object. */
    public static ParseResult<ParsedJson> parse(String text) {
        try {
            JsonNode root = MAPPER.readTree(text);
            if (!root.isObject()) {
                return ParseResult.faulty(List.of(new Fault("", 1, "must be a JSON object")));
            }
            return ParseResult.of(new ParsedJson(root, linesOf(text)));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            return ParseResult.faulty(List.of(new Fault("", line, e.getOriginalMessage())));
        } catch (IOException e) {
            return ParseResult.faulty(List.of(new Fault("", 0, String.valueOf(e.getMessage()))));
        }
    }

    /** Returns a reader of the root object that adds each fault to {@code faults}. */
    public ObjectReader reader(List<Fault> faults) {
        return new ObjectReader(mRoot, "", mLines, faults);
    }

    private static Map<String, Integer> linesOf(String text) throws IOException {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = MAPPER.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                String pointer = parser.getParsingContext().pathAsPointer().toString();
                lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
            }
        }
        return lines;
    }
}
