package org.sequoiahill.daemon.version.staging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates the loads of all agents until every engine has the new version. */
final class SwapScheduleTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(6);

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 6, 10, 19, 36})
    void mayLoad_agentsLoadWhenAllowed_atMostAThirdAtOnceAndAllInThreeRounds(int agents) {
        Map<String, Long> versions = fleet(agents);
        int rounds = 0;
        while (versions.containsValue(1L)) {
            List<String> loading = allowedToLoad(versions, Duration.ofSeconds(3));
            assertThat(loading.size(), lessThanOrEqualTo((agents + 2) / 3));
            assertThat("at least one agent may load", loading.isEmpty(), is(false));
            loading.forEach(agent -> versions.put(agent, 2L));
            rounds++;
        }
        assertThat(rounds, lessThanOrEqualTo(3));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 10, 19})
    void mayLoad_maxWaitElapsed_allMayLoad(int agents) {
        Map<String, Long> versions = fleet(agents);
        assertThat(allowedToLoad(versions, MAX_WAIT).size(), is(agents));
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 10})
    void mayLoad_enginesWithoutAnyVersion_areNotWaitedFor(int agents) {
        Map<String, Long> versions = fleet(agents);
        List<String> first = allowedToLoad(versions, Duration.ZERO);
        first.forEach(agent -> versions.put(agent, 0L));
        assertThat(allowedToLoad(versions, Duration.ZERO).isEmpty(), is(false));
    }

    private static List<String> allowedToLoad(Map<String, Long> versions, Duration age) {
        return versions.entrySet().stream()
                .filter(entry -> entry.getValue() == 1L)
                .map(Map.Entry::getKey)
                .filter(agent -> SwapSchedule.mayLoad(agent, versions, 2, age, MAX_WAIT))
                .toList();
    }

    private static Map<String, Long> fleet(int agents) {
        Map<String, Long> versions = new HashMap<>();
        for (int i = 0; i < agents; i++) {
            versions.put("10." + i % 3 + ".0." + i, 1L);
        }
        return versions;
    }
}
