package org.sequoiahill.daemon.version.staging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Follows every piece from the origin to the agents of every region. */
final class PiecePlanTest {
    private static final int PIECES = 48;

    @ParameterizedTest
    @CsvSource({"1, 1", "2, 1", "7, 3", "8, 3", "46, 3", "44, 4"})
    void servingEntry_anyFleet_isInTheRegionAndEachPieceHasOneFetchingEntry(
            int entries, int regions) {
        Map<String, String> regionOf = fleet(entries, regions);
        PiecePlan plan = PiecePlan.of(regionOf);
        Map<String, Integer> fetched = new HashMap<>();
        for (int piece = 0; piece < PIECES; piece++) {
            String fetching = plan.fetchingEntry(piece).orElseThrow();
            fetched.merge(fetching, 1, Integer::sum);
            for (int region = 0; region < regions; region++) {
                String name = "region-" + region;
                String serving = plan.servingEntry(name, piece, 0).orElseThrow();
                assertThat(regionOf.get(serving), is(name));
                if (regionOf.get(fetching).equals(name)) {
                    assertThat("no second hop in the region", serving, is(fetching));
                }
            }
        }
        int max = fetched.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertThat(max, lessThanOrEqualTo((PIECES + entries - 1) / entries));
    }

    @ParameterizedTest
    @CsvSource({"8, 3, 8", "44, 4, 12", "49, 5, 12", "104, 5, 12"})
    void fetchingEntry_manyEntries_fewFetchAndAllOfARegionServeEqually(
            int entries, int regions, int fetchingEntries) {
        Map<String, String> regionOf = fleet(entries, regions);
        PiecePlan plan = PiecePlan.of(regionOf, 48);
        Set<Optional<String>> distinctEntries = new HashSet<>();
        Set<String> distinctRegions = new HashSet<>();
        for (int piece = 0; piece < PIECES; piece++) {
            distinctEntries.add(plan.fetchingEntry(piece));
            distinctRegions.add(regionOf.get(plan.fetchingEntry(piece).orElseThrow()));
        }
        assertThat(distinctEntries.size(), is(fetchingEntries));
        assertThat(distinctRegions.size(), is(regions));
        for (int region = 0; region < regions; region++) {
            Map<String, Integer> served = new HashMap<>();
            for (int piece = 0; piece < PIECES; piece++) {
                String serving = plan.servingEntry("region-" + region, piece, 0).orElseThrow();
                assertThat(
                        plan.assignedPieces(serving, "region-" + region, PIECES), hasItem(piece));
                served.merge(serving, 1, Integer::sum);
            }
            int entryCount = plan.servingEntryCount("region-" + region);
            int max = served.values().stream().mapToInt(Integer::intValue).max().orElse(0);
            assertThat(max, lessThanOrEqualTo(2 * (PIECES + entryCount - 1) / entryCount));
        }
    }

    @Test
    void servingEntry_afterFailures_isAnotherEntryOfTheRegion() {
        PiecePlan plan = PiecePlan.of(fleet(9, 3));
        Set<Optional<String>> servingEntries = new HashSet<>();
        for (int failures = 0; failures < 4; failures++) {
            servingEntries.add(plan.servingEntry("region-1", 5, failures));
        }
        assertThat(servingEntries.size(), greaterThan(2));
    }

    @Test
    void servingEntry_regionWithoutEntries_isInAnotherRegion() {
        assertThat(PiecePlan.of(fleet(3, 3)).servingEntry("other", 1, 0).isPresent(), is(true));
        assertThat(PiecePlan.of(Map.of()).servingEntry("other", 1, 0).isPresent(), is(false));
    }

    private static Map<String, String> fleet(int entries, int regions) {
        Map<String, String> fleet = new TreeMap<>();
        for (int i = 0; i < entries; i++) {
            fleet.put("10." + i % regions + ".0." + i, "region-" + i % regions);
        }
        return fleet;
    }
}
