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
    void supplier_anyFleet_isInTheRegionAndGetsEachPieceFromOneDrawer(int entries, int regions) {
        Map<String, String> regionOf = fleet(entries, regions);
        PiecePlan plan = PiecePlan.of(regionOf);
        Map<String, Integer> drawn = new HashMap<>();
        for (int piece = 0; piece < PIECES; piece++) {
            String drawer = plan.fetchingEntry(piece).orElseThrow();
            drawn.merge(drawer, 1, Integer::sum);
            for (int region = 0; region < regions; region++) {
                String name = "region-" + region;
                String supplier = plan.servingEntry(name, piece, 0).orElseThrow();
                assertThat(regionOf.get(supplier), is(name));
                if (regionOf.get(drawer).equals(name)) {
                    assertThat("no second hop in the region", supplier, is(drawer));
                }
            }
        }
        int most = drawn.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertThat(most, lessThanOrEqualTo((PIECES + entries - 1) / entries));
    }

    @ParameterizedTest
    @CsvSource({"8, 3, 8", "44, 4, 12", "49, 5, 12", "104, 5, 12"})
    void drawer_manyEntries_fewDrawAndAllOfARegionGiveAlike(int entries, int regions, int drawers) {
        Map<String, String> regionOf = fleet(entries, regions);
        PiecePlan plan = PiecePlan.of(regionOf, 48);
        Set<Optional<String>> drawing = new HashSet<>();
        Set<String> drawnIn = new HashSet<>();
        for (int piece = 0; piece < PIECES; piece++) {
            drawing.add(plan.fetchingEntry(piece));
            drawnIn.add(regionOf.get(plan.fetchingEntry(piece).orElseThrow()));
        }
        assertThat(drawing.size(), is(drawers));
        assertThat(drawnIn.size(), is(regions));
        for (int region = 0; region < regions; region++) {
            Map<String, Integer> given = new HashMap<>();
            for (int piece = 0; piece < PIECES; piece++) {
                String supplier = plan.servingEntry("region-" + region, piece, 0).orElseThrow();
                assertThat(
                        plan.assignedPieces(supplier, "region-" + region, PIECES), hasItem(piece));
                given.merge(supplier, 1, Integer::sum);
            }
            int near = plan.servingEntryCount("region-" + region);
            int most = given.values().stream().mapToInt(Integer::intValue).max().orElse(0);
            assertThat(most, lessThanOrEqualTo(2 * (PIECES + near - 1) / near));
        }
    }

    @Test
    void supplier_afterFailures_isAnotherEntryOfTheRegion() {
        PiecePlan plan = PiecePlan.of(fleet(9, 3));
        Set<Optional<String>> suppliers = new HashSet<>();
        for (int failures = 0; failures < 4; failures++) {
            suppliers.add(plan.servingEntry("region-1", 5, failures));
        }
        assertThat(suppliers.size(), greaterThan(2));
    }

    @Test
    void supplier_regionWithoutEntries_isElsewhere() {
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
