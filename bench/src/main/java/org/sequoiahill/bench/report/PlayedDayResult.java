package org.sequoiahill.bench.report;

import java.util.Map;

/**
 * Result of one day of a journal entry.
 *
 * @param name name of the day
 * @param worth total credit minus the cost of all prices
 * @param parts credit of each part by name, before weighting
 * @param prices cost of each price by name
 * @param brokenRules number of violations of each broken rule
 */
record PlayedDayResult(
        String name,
        double worth,
        Map<String, Double> parts,
        Map<String, Double> prices,
        Map<String, Integer> brokenRules) {
    /** Copies the maps. */
    PlayedDayResult {
        parts = Map.copyOf(parts);
        prices = Map.copyOf(prices);
        brokenRules = Map.copyOf(brokenRules);
    }
}
