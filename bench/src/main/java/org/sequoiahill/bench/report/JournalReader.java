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

/** Reads the entries of a journal folder; logs and skips files that are not entries. */
final class JournalReader {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private JournalReader() {}

    /**
     * Returns the entries of a folder, ordered by start time.
     *
     * @throws IOException if the folder or a file can't be read
     */
    static List<JournalEntry> read(Path folder) throws IOException {
        List<JournalEntry> entries = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".json")).toList()) {
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
            root.path("days").forEach(day -> days.add(parseDay(day)));
            return Optional.of(
                    new JournalEntry(
                            Instant.parse(root.path("at").path(0).asText()),
                            root.path("site").asText(),
                            root.path("cmd").asText(),
                            root.path("why").asText(),
                            days));
        } catch (JsonProcessingException | DateTimeParseException e) {
            Logger.warn("skipped {}: not a journal entry: {}", file, e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Parses the result of a day. Each row of its parts is a list of name, weight and credit; each
     * row of its prices is a list of name, amount and cost.
     */
    private static PlayedDayResult parseDay(JsonNode day) {
        Map<String, Integer> broken = new TreeMap<>();
        for (Map.Entry<String, JsonNode> rule : day.path("rules").properties()) {
            broken.put(rule.getKey(), rule.getValue().asInt(1));
        }
        return new PlayedDayResult(
                day.path("name").asText(),
                day.path("G").asDouble(),
                thirdValueByName(day.path("parts")),
                thirdValueByName(day.path("prices")),
                broken);
    }

    /** Returns the third value of each row, keyed by the first, which is a name. */
    private static Map<String, Double> thirdValueByName(JsonNode rows) {
        Map<String, Double> values = new LinkedHashMap<>();
        rows.forEach(row -> values.put(row.path(0).asText(), row.path(2).asDouble()));
        return values;
    }
}
