package org.sequoiahill.bench.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.tinylog.Logger;

/** Reads the entries of a journal folder; what is no entry is left out with a line in the log. */
final class JournalReader {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private JournalReader() {}

    /**
     * Returns the entries of a folder in the order of their start.
     *
     * @throws IOException where the folder can't be read
     */
    static List<JournalEntry> read(Path folder) throws IOException {
        List<JournalEntry> entries = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(each -> each.toString().endsWith(".json")).toList()) {
                parse(file).ifPresent(entries::add);
            }
        }
        entries.sort(Comparator.comparing(JournalEntry::startedAt));
        return entries;
    }

    private static Optional<JournalEntry> parse(Path file) throws IOException {
        try {
            JsonNode root = MAPPER.readTree(Files.readString(file));
            List<PlayedDayResult> days = new ArrayList<>();
            root.path("days").forEach(day -> days.add(day(day)));
            return Optional.of(
                    new JournalEntry(
                            Instant.parse(root.path("at").path(0).asText()),
                            root.path("site").asText(),
                            root.path("cmd").asText(),
                            root.path("why").asText(),
                            days));
        } catch (JsonProcessingException | DateTimeParseException e) {
            Logger.warn("{} is no journal entry: {}", file, e.getMessage());
            return Optional.empty();
        }
    }

    /** Reads a day: parts are lists of name, weight and credit, prices of name, amount and cost. */
    private static PlayedDayResult day(JsonNode day) {
        Map<String, Integer> broken = new TreeMap<>();
        for (Map.Entry<String, JsonNode> rule : day.path("rules").properties()) {
            broken.put(rule.getKey(), rule.getValue().asInt(1));
        }
        return new PlayedDayResult(
                day.path("name").asText(),
                day.path("G").asDouble(),
                thirdByFirst(day.path("parts")),
                thirdByFirst(day.path("prices")),
                broken);
    }

    private static Map<String, Double> thirdByFirst(JsonNode rows) {
        Map<String, Double> values = new LinkedHashMap<>();
        rows.forEach(row -> values.put(row.path(0).asText(), row.path(2).asDouble()));
        return values;
    }
}
