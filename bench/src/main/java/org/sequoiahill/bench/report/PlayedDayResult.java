package org.sequoiahill.bench.report;

import java.util.Map;

/**
 * What one day of a journal entry was worth.
 *
 * @param name name of the day
 * @param worth credit less prices
 * @param parts credit of each part, before it is weighed
 * @param prices what each price took off
 * @param brokenRules occurrences of each broken rule
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
