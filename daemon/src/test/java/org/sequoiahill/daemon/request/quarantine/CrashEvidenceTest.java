package org.sequoiahill.daemon.request.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link CrashEvidence}. */
final class CrashEvidenceTest {
    private static final double LOSS_RATE = 0.02;

    /** Guards against a rare part under quarantine that was always lost beside the bad one. */
    @ParameterizedTest
    @CsvSource({
        // deaths with the bad part and another one, the bad part alone, the other one alone; parts
        // found
        "6, 2, 0, bad",
        "7, 1, 0, bad",
        "9, 4, 0, bad",
        "6, 1, 1, bad other",
        "0, 6, 6, bad other"
    })
    void culprits_partIsOnlyLostBesideAnotherOne_isNotFound(
            int together, int badAlone, int otherAlone, String found) {
        CrashEvidence evidence = new CrashEvidence();
        int deaths = together + badAlone + otherAlone;
        for (int i = 0; i < deaths; i++) {
            Duration sentAt = Duration.ofSeconds(10L * i);
            Map<String, Duration> lost =
                    i < together
                            ? Map.of("bad", sentAt, "other", sentAt)
                            : Map.of(i < together + badAlone ? "bad" : "other", sentAt);
            evidence.addDeath("engine-" + i, sentAt.plusMillis(100), lost);
        }
        assertThat(
                evidence.culprits(
                        Duration.ofSeconds(10L * deaths),
                        isExplained -> LOSS_RATE,
                        new TraitHistory()),
                containsInAnyOrder(found.split(" ", -1)));
    }
}
