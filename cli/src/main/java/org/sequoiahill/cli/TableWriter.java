package org.sequoiahill.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints JSON objects as a table, one per line. */
final class TableWriter {
    private static final String GAP = "  ";

    private TableWriter() {}

    /** Prints these fields of each row; a missing field is left blank. */
    static void print(PrintStream out, Iterable<JsonNode> rows, List<String> columns) {
        List<List<String>> lines = new ArrayList<>();
        lines.add(columns);
        for (JsonNode row : rows) {
            lines.add(columns.stream().map(column -> textOf(row.path(column))).toList());
        }
        int[] widths = new int[columns.size()];
        for (List<String> line : lines) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        lines.forEach(line -> out.println(format(line, widths)));
    }

    private static String format(List<String> line, int[] widths) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            String cell = line.get(i);
            text.append(cell).append(" ".repeat(widths[i] - cell.length())).append(GAP);
        }
        return text.toString().stripTrailing();
    }

    private static String textOf(JsonNode node) {
        if (!node.isArray()) {
            return node.asText();
        }
        List<String> parts = new ArrayList<>();
        node.forEach(part -> parts.add(part.isObject() ? part.toString() : part.asText()));
        return String.join("; ", parts);
    }
}
