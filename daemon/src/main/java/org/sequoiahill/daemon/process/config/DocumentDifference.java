package org.sequoiahill.daemon.process.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.sequoiahill.protocol.json.ParsedJson;

/**
 * Lists the differences between two JSON documents, each with the path of the value: the names and
 * indexes that lead to it, unescaped, each after a slash. Ignores comments.
 */
final class DocumentDifference {
    /** Maximum number of lines; one more says that there are further differences. */
    static final int MAX_LINES = 32;

    /** Maximum length of a value in a line, in characters. */
    static final int MAX_VALUE_CHARS = 80;

    private static final int MAX_PATH_CHARS = 200;

    private final List<String> mLines = new ArrayList<>();

    private DocumentDifference() {}

    /** Returns a line per difference of two texts; a text that isn't JSON counts as absent. */
    static List<String> between(String before, String after) {
        DocumentDifference difference = new DocumentDifference();
        difference.compare("", parse(before), parse(after));
        return difference.mLines;
    }

    private static JsonNode parse(String text) {
        try {
            return text.isEmpty() ? MissingNode.getInstance() : ParsedJson.mapper().readTree(text);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }

    private void compare(String path, JsonNode before, JsonNode after) {
        if (mLines.size() > MAX_LINES || before.equals(after)) {
            return;
        }
        if (before.isObject() && after.isObject()) {
            TreeSet<String> names = new TreeSet<>();
            addNames(names, before);
            addNames(names, after);
            names.forEach(n -> compare(path + "/" + n, before.path(n), after.path(n)));
        } else if (before.isArray() && after.isArray()) {
            for (int i = 0; i < Math.max(before.size(), after.size()); i++) {
                compare(path + "/" + i, before.path(i), after.path(i));
            }
        } else {
            add(path, before, after);
        }
    }

    private static void addNames(Set<String> names, JsonNode node) {
        for (Iterator<String> i = node.fieldNames(); i.hasNext(); ) {
            names.add(i.next());
        }
    }

    private void add(String path, JsonNode before, JsonNode after) {
        if (mLines.size() == MAX_LINES) {
            mLines.add("more differs");
            return;
        }
        String shownPath = truncate(path.isEmpty() ? "/" : path, MAX_PATH_CHARS);
        mLines.add(shownPath + ": " + textOf(before) + " -> " + textOf(after));
    }

    private static String textOf(JsonNode node) {
        return node.isMissingNode() ? "absent" : truncate(node.toString(), MAX_VALUE_CHARS);
    }

    private static String truncate(String text, int chars) {
        return text.length() <= chars ? text : text.substring(0, chars) + "...";
    }
}
