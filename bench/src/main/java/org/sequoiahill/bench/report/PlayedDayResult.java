package org.sequoiahill.bench.report;

import java.util.Map;

/**
 * Score of one day that the users' bench played, as recorded in an entry of its journal.
 *
 * @param name name of the day
 * @param worth score of the day, as that bench computed it
 * @param parts credit by criterion, before weighting
 * @param prices cost by kind of resource or event that is charged
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
