package org.sequoiahill.daemon.version.staging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Follows every piece from the origin to every agent. */
final class PiecePlanTest {
    private static final int PIECES = 48;

    @ParameterizedTest
    @CsvSource({"1, 1", "2, 1", "6, 3", "10, 3", "19, 3", "36, 4"})
    void source_anyFleet_bringsEveryPieceAndCrossesEachRegionOnce(int agents, int regions) {
        Map<String, String> regionOf = fleet(agents, regions);
        Map<String, Integer> sent = new HashMap<>();
        for (int piece = 0; piece < PIECES; piece++) {
            Map<String, Integer> drawn = new HashMap<>();
            Map<String, Integer> crossed = new HashMap<>();
            for (String agent : regionOf.keySet()) {
                Optional<String> source = planOf(agent, regionOf).source(piece);
                if (source.isEmpty()) {
                    drawn.merge("origin", 1, Integer::sum);
                    continue;
                }
                sent.merge(source.get(), 1, Integer::sum);
                if (!regionOf.get(source.get()).equals(regionOf.get(agent))) {
                    crossed.merge(regionOf.get(agent), 1, Integer::sum);
                }
                assertThat(hopsToOrigin(agent, piece, regionOf), lessThanOrEqualTo(2));
            }
            assertThat("drawn once", drawn.get("origin"), is(1));
            crossed.values().forEach(times -> assertThat(times, is(1)));
        }
        int most = sent.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertThat("pieces that one agent sends", most, lessThanOrEqualTo(PIECES * 2));
    }

    @Test
    void source_holdersInTheRegion_areAskedInTurn() {
        PiecePlan plan =
                PiecePlan.of(
                        "new",
                        Map.of("new", "r1"),
                        Map.of("h1", "r1", "h2", "r1", "h3", "r2"),
                        PIECES);
        assertThat(plan.own().isEmpty(), is(true));
        assertThat(plan.source(0), is(Optional.of("h1")));
        assertThat(plan.source(1), is(Optional.of("h2")));
        assertThat(plan.source(2), is(Optional.of("h1")));
    }

    @Test
    void source_holdersElsewhereOnly_areAsked() {
        PiecePlan plan = PiecePlan.of("new", Map.of("new", "r1"), Map.of("h3", "r2"), PIECES);
        assertThat(plan.source(5), is(Optional.of("h3")));
    }

    private static int hopsToOrigin(String agent, int piece, Map<String, String> regionOf) {
        int hops = 0;
        String at = agent;
        while (hops <= PIECES) {
            Optional<String> source = planOf(at, regionOf).source(piece);
            if (source.isEmpty()) {
                return hops;
            }
            at = source.get();
            hops++;
        }
        throw new AssertionError("piece " + piece + " goes round in a circle");
    }

    private static PiecePlan planOf(String agent, Map<String, String> regionOf) {
        PiecePlan plan = PiecePlan.of(agent, regionOf, Map.of(), PIECES);
        assertThat(plan, notNullValue());
        assertThat(plan.own().size() + plan.others().size(), is(PIECES));
        return plan;
    }

    private static Map<String, String> fleet(int agents, int regions) {
        Map<String, String> fleet = new TreeMap<>();
        for (int i = 0; i < agents; i++) {
            fleet.put("10." + i % regions + ".0." + i, "region-" + i % regions);
        }
        return fleet;
    }
}
