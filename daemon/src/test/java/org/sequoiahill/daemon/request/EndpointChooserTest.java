package org.sequoiahill.daemon.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.directory.DataCentreTable.DataCentreTarget;
import org.sequoiahill.daemon.process.directory.TargetLoad;

final class EndpointChooserTest {
    private static final int DRAWS = 2_000;
    private final EndpointChooser mChooser =
            EndpointChooser.of(new Random(7), RequestPolicy.Choice.TWO_CHOICES);

    /** Places are running/limit; the least and most draws of the first in 2000. */
    @ParameterizedTest
    @CsvSource({
        "alone, 3/8, 2000, 2000",
        "idle beside a loaded one, 0/8 6/8, 1400, 1600",
        "loaded beside idle ones, 6/8 0/8 0/8 0/8, 50, 250",
        "equal loads, 2/8 2/8, 900, 1600",
        "by share and not by count, 4/16 3/4, 1400, 1600",
    })
    void choose_loads_preferTheLessLoaded(String what, String loads, int least, int most) {
        int first = draws(places(loads), Optional.empty()).getOrDefault("vm0", 0);
        assertThat(what, least <= first && first <= most, is(true));
    }

    @Test
    void choose_noPlace_isEmpty() {
        assertThat(
                mChooser.choose(List.<DataCentreTarget>of(), Optional.empty()).isPresent(),
                is(false));
    }

    @Test
    void choose_samePrefix_goesToTheSamePlaceWhateverElseIsThere() {
        String chosen = only(draws(places("0/8 0/8 0/8 0/8 0/8"), Optional.of(42L)));
        List<DataCentreTarget> fewer = new ArrayList<>(places("0/8 0/8 0/8 0/8 0/8"));
        String other = chosen.equals("vm0") ? "vm1" : "vm0";
        fewer.removeIf(place -> place.name().equals(other));
        assertThat(only(draws(fewer, Optional.of(42L))), is(chosen));
    }

    @Test
    void choose_placeOfThePrefixIsOverloaded_goesElsewhere() {
        List<DataCentreTarget> places = places("0/8 0/8 0/8 0/8 0/8");
        String chosen = only(draws(places, Optional.of(42L)));
        places.stream()
                .filter(place -> place.name().equals(chosen))
                .forEach(place -> place.load().report(6, 8));
        assertThat(draws(places, Optional.of(42L)).getOrDefault(chosen, 0), is(0));
    }

    @Test
    void chooseByRoom_unequalRoom_isDrawnByRoom() {
        Map<String, Integer> counts = new HashMap<>();
        List<DataCentreTarget> places = places("0/10 0/30 40/40");
        for (int i = 0; i < DRAWS; i++) {
            counts.merge(
                    mChooser.chooseByFreeCapacity(places).orElseThrow().name(), 1, Integer::sum);
        }
        assertThat(counts.getOrDefault("vm2", 0), is(0));
        assertThat(counts.getOrDefault("vm1", 0), greaterThan(1_400));
        assertThat(counts.getOrDefault("vm1", 0), lessThan(1_600));
    }

    private Map<String, Integer> draws(List<DataCentreTarget> places, Optional<Long> prefix) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < DRAWS; i++) {
            counts.merge(mChooser.choose(places, prefix).orElseThrow().name(), 1, Integer::sum);
        }
        return counts;
    }

    private static String only(Map<String, Integer> counts) {
        assertThat(counts.size(), is(1));
        return counts.keySet().iterator().next();
    }

    private static List<DataCentreTarget> places(String loads) {
        List<DataCentreTarget> places = new ArrayList<>();
        for (String load : loads.split(" ")) {
            String[] parts = load.split("/");
            TargetLoad held = TargetLoad.idle(0);
            held.report(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
            places.add(new DataCentreTarget("vm" + places.size(), held));
        }
        return places;
    }
}
