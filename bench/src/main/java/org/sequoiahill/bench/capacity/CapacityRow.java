package org.sequoiahill.bench.capacity;

import java.util.Locale;

/**
 * One row of the capacity page.
 *
 * @param role what uses it
 * @param quantity what is used, with its unit
 * @param limit what may be used; infinite where nothing is stated
 * @param usage what is used at the target size
 * @param slopes measured slopes that the figure comes from
 */
public record CapacityRow(
        String role, String quantity, double limit, double usage, String slopes) {
    /** Returns whether the figure is within the limit. */
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
