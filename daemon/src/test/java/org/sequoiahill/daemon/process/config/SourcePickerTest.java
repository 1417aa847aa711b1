package org.sequoiahill.daemon.process.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SourcePickerTest {
    private static final long CURRENT_REVISION = 10;

    private final SourcePicker mPicker = SourcePicker.over(List.of("a", "b", "c"), new FirstOnly());

    /**
     * A step is: VM=REVISION (announced by a message), VM+REVISION (responded), VM! (failed), a
     * number of milliseconds to pass, or ? (pick; the picks are compared).
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "? a+10 ? b+10 ? c+10 ?| a b c a",
                // a source that is ahead goes first, unless a fetch from it is in flight
                "c=11 ? ?| c a",
                "c=11 ? c+11 ?| c c",
                "x=11 ?| a",
                "b=9 ?| a",
                // a source that doesn't respond never blocks the others
                "? ? ? ?| a b c -",
                "? b=11 ?| a b",
                "? 1000 ? b+10 ? c+10 ? b+10 ?| a b c b c",
                "a=11 ? 1000 ? b+10 ? c+10| a b c",
                // a failed source backs off and is picked again later
                "? a! ? b+10 ? c+10 ? b+10| a b c b",
                "? a! 999 ? b+10 ? c+10 ?| a b c a",
                // while all are failing, one at a time is still picked
                "? a! ? b! ? c! ? ?| a b c a -",
            })
    void pick_afterSteps_returnsExpectedSources(String steps, String picks) {
        Duration now = Duration.ofSeconds(100);
        List<String> picked = new ArrayList<>();
        for (String step : steps.split(" ", -1)) {
            if (step.equals("?")) {
                picked.add(mPicker.pick(now, CURRENT_REVISION).orElse("-"));
            } else if (step.contains("=")) {
                mPicker.onRevision(
                        step.substring(0, 1), Long.parseLong(step.substring(2)), CURRENT_REVISION);
            } else if (step.contains("+")) {
                mPicker.onResponse(step.substring(0, 1), Long.parseLong(step.substring(2)));
            } else if (step.endsWith("!")) {
                mPicker.onFailure(step.substring(0, 1), now);
            } else {
                now = now.plusMillis(Long.parseLong(step));
            }
        }

        assertThat(String.join(" ", picked), is(picks));
    }

    /** At least every second pull picks another source if one source never responds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void pick_oneSourceUnresponsive_picksTheOthersWithinTwoPulls(long seed) {
        SourcePicker picker = SourcePicker.over(List.of("silent", "b", "c"), new Random(seed));
        int pullsSinceOther = 0;
        int unresponsivePicks = 0;
        for (int second = 0; second < 1_000; second++) {
            Optional<String> picked = picker.pick(Duration.ofSeconds(second), CURRENT_REVISION);
            boolean isOther = picked.filter(vm -> !vm.equals("silent")).isPresent();
            pullsSinceOther = isOther ? 0 : pullsSinceOther + 1;
            unresponsivePicks += picked.filter("silent"::equals).isPresent() ? 1 : 0;
            picked.filter(vm -> !vm.equals("silent"))
                    .ifPresent(vm -> picker.onResponse(vm, CURRENT_REVISION));
            assertThat("second " + second, pullsSinceOther, lessThanOrEqualTo(1));
        }
        assertThat(unresponsivePicks, is(greaterThan(20)));
        assertThat(unresponsivePicks, is(lessThanOrEqualTo(90)));
    }

    @Test
    void over_manyProcesses_startAtDifferentSources() {
        Set<String> first = new HashSet<>();
        for (long seed = 0; seed < 50; seed++) {
            first.add(
                    SourcePicker.over(List.of("a", "b", "c"), new Random(seed))
                            .pick(Duration.ZERO, 0)
                            .orElseThrow());
        }

        assertThat(first.size(), is(3));
    }

    /** Makes the picker start at the first source, with back-offs close to the longest. */
    private static final class FirstOnly extends Random {
        private static final long serialVersionUID = 1;

        @Override
        public int nextInt(int bound) {
            return 0;
        }

        @Override
        public double nextDouble(double origin, double bound) {
            return 0.99;
        }
    }
}
