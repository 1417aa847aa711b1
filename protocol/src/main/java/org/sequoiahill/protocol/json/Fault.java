package org.sequoiahill.protocol.json;

/**
 * A fault found in a JSON text.
 *
 * @param pointer JSON pointer of the invalid value, or empty for the text as a whole
 * @param line line of the value, starting at 1, or 0 if unknown
 * @param message the rule that the value violates, with the value and the limit
 */
public record Fault(String pointer, int line, String message) {
    @Override
    public String toString() {
        String place = line > 0 ? "line " + line + ": " : "";
        return place + (pointer.isEmpty() ? "" : pointer + ": ") + message;
    }
}
