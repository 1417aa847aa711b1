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
    private static final int CHOICES = 2_000;
    private final EndpointChooser mChooser =
            EndpointChooser.of(new Random(7), RequestPolicy.Choice.TWO_CHOICES);

    @ParameterizedTest
    @CsvSource({
        // case, load of each target as running/limit, minimum and maximum number of times that the
        // first target is chosen in 2000
        "single target, 3/8, 2000, 2000",
        "idle and loaded target, 0/8 6/8, 1400, 1600",
        "loaded and idle targets, 6/8 0/8 0/8 0/8, 50, 250",
        "equal loads, 2/8 2/8, 900, 1600",
        "by utilisation and not by count, 4/16 3/4, 1400, 1600",
    })
    void choose_unequalLoads_prefersTheLessLoaded(String what, String loads, int min, int max) {
        int first = countChoices(targets(loads), Optional.empty()).getOrDefault("vm0", 0);
        assertThat(what, min <= first && first <= max, is(true));
    }

    @Test
    void choose_noTarget_isEmpty() {
        assertThat(
                mChooser.choose(List.<DataCentreTarget>of(), Optional.empty()).isPresent(),
                is(false));
    }

    @Test
    void choose_samePrefix_returnsTheSameTargetWithOtherTargetsRemoved() {
        String chosen = only(countChoices(targets("0/8 0/8 0/8 0/8 0/8"), Optional.of(42L)));
        List<DataCentreTarget> fewer = new ArrayList<>(targets("0/8 0/8 0/8 0/8 0/8"));
        String other = chosen.equals("vm0") ? "vm1" : "vm0";
        fewer.removeIf(target -> target.name().equals(other));
        assertThat(only(countChoices(fewer, Optional.of(42L))), is(chosen));
    }

    @Test
    void choose_targetOfThePrefixIsOverloaded_returnsAnother() {
        List<DataCentreTarget> targets = targets("0/8 0/8 0/8 0/8 0/8");
        String chosen = only(countChoices(targets, Optional.of(42L)));
        targets.stream()
                .filter(target -> target.name().equals(chosen))
                .forEach(target -> target.load().report(6, 8));
        assertThat(countChoices(targets, Optional.of(42L)).getOrDefault(chosen, 0), is(0));
    }

    @Test
    void chooseByFreeCapacity_unequalCapacity_isProportional() {
        Map<String, Integer> counts = new HashMap<>();
        List<DataCentreTarget> targets = targets("0/10 0/30 40/40");
        for (int i = 0; i < CHOICES; i++) {
            counts.merge(
                    mChooser.chooseByFreeCapacity(targets).orElseThrow().name(), 1, Integer::sum);
        }
        assertThat(counts.getOrDefault("vm2", 0), is(0));
        assertThat(counts.getOrDefault("vm1", 0), greaterThan(1_400));
        assertThat(counts.getOrDefault("vm1", 0), lessThan(1_600));
    }

    private Map<String, Integer> countChoices(
            List<DataCentreTarget> targets, Optional<Long> prefix) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < CHOICES; i++) {
            counts.merge(mChooser.choose(targets, prefix).orElseThrow().name(), 1, Integer::sum);
        }
        return counts;
    }

    private static String only(Map<String, Integer> counts) {
        assertThat(counts.size(), is(1));
        return counts.keySet().iterator().next();
    }

    private static List<DataCentreTarget> targets(String loads) {
        List<DataCentreTarget> targets = new ArrayList<>();
        for (String load : loads.split(" ")) {
            String[] parts = load.split("/");
            TargetLoad targetLoad = TargetLoad.idle(0);
            targetLoad.report(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
            targets.add(new DataCentreTarget("vm" + targets.size(), targetLoad));
        }
        return targets;
    }
}
