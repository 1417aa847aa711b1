package org.sequoiahill.bench.capacity;

import java.util.Locale;

/**
 * One row of the capacity page.
 *
 * @param role role of the daemon
 * @param quantity resource, with its unit
 * @param limit largest permitted usage; infinite if none is stated
 * @param usage usage at the target size
 * @param slopes measured slopes from which the usage is computed
 */
public record CapacityRow(String role, String quantity, double limit, double usage, String slopes) {
    /** Returns whether the usage is within the limit. */
    public boolean isMet() {
        return usage <= limit;
    }

    /** Returns the row as Markdown. */
    public String toMarkdown() {
        String stated = Double.isInfinite(limit) ? "none stated" : number(limit);
        String verdict = Double.isInfinite(limit) ? "" : isMet() ? "met" : "**missed**";
        return "| %s | %s | %s | %s | %s | %s |"
                .formatted(role, quantity, stated, number(usage), slopes, verdict);
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, value < 10 ? "%.4f" : "%.0f", value);
    }
}
