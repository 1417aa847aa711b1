package org.sequoiahill.protocol.json;

/**
 * A fault found in a JSON text.
 *
 * @param key JSON pointer of the faulty value, empty for the whole text
 * @param line line of the value, counted from one, or zero where it is unknown
 * @param message the rule that the value breaks, with the value and the bound
 */
public record Fault(String key, int line, String message) {
    @Override
    public String toString() {
        String place = line > 0 ? "line " + line + ": " : "";
        return place + (key.isEmpty() ? "" : key + ": ") + message;
    }
}
