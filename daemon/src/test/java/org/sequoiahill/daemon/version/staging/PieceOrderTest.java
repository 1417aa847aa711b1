package org.sequoiahill.daemon.version.staging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link PieceOrder}, with agents that request pieces at the same pace. */
final class PieceOrderTest {
    private static final int PIECES = 48;

    @ParameterizedTest
    @CsvSource({
        // agents and entries of the region, maximum of agents that request one piece at the same
        // time
        "13, 10, 2",
        "9, 11, 1",
        "58, 10, 6",
        "4, 3, 2"
    })
    void sequence_agentsOfARegion_requestDifferentPiecesAtAnyTime(
            int agents, int entries, int max) {
        List<List<Integer>> orders = orders(agents, entries);
        // The last block may be shorter than the others.
        for (int step = 0; step < PIECES - PIECES % entries; step++) {
            Map<Integer, Integer> requests = new HashMap<>();
            for (List<Integer> order : orders) {
                requests.merge(order.get(step), 1, Integer::sum);
            }
            int atOnce = requests.values().stream().mapToInt(Integer::intValue).max().orElse(0);
            assertThat(atOnce, lessThanOrEqualTo(max));
        }
    }

    @ParameterizedTest
    @CsvSource({"13, 10", "1, 1", "2, 0", "3, 100"})
    void sequence_anyRegion_containsEachPieceOnce(int agents, int entries) {
        Integer[] all = IntStream.range(0, PIECES).boxed().toArray(Integer[]::new);
        for (List<Integer> order : orders(agents, entries)) {
            assertThat(order, containsInAnyOrder(all));
        }
    }

    @ParameterizedTest
    @CsvSource({"0", "1", "9"})
    void sequence_agentNotYetKnown_continuesTheOffsetsOfTheOthers(int agents) {
        List<String> names = new ArrayList<>();
        IntStream.range(0, agents).forEach(agent -> names.add("a" + agent));
        assertThat(PieceOrder.of("z", names, 10).sequence(PIECES).get(0), is(agents % 10));
    }

    private static List<List<Integer>> orders(int agents, int entries) {
        List<String> names = IntStream.range(0, agents).mapToObj(agent -> "a" + agent).toList();
        return names.stream()
                .map(name -> PieceOrder.of(name, names, entries).sequence(PIECES))
                .toList();
    }
}
