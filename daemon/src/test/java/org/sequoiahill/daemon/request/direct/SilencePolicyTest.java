package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.fleet.Route;

/** Tests of {@link SilencePolicy}. */
final class SilencePolicyTest {
    @ParameterizedTest
    @CsvSource({
        // kind, runs, silence in ms, time left in ms; whether to retry elsewhere
        "IDEMPOTENT, 0, 1600, 2400, true",
        "STREAM, 0, 1600, 2400, true",
        "IDEMPOTENT, 0, 1400, 2400, false",
        "IDEMPOTENT, 0, 1600, 1400, false",
        "IDEMPOTENT, 1, 1600, 2400, false",
        "ONCE, 0, 1600, 2400, false"
    })
    void shouldRetryElsewhere_silence_dependsOnWhatMayRunTwice(
            Route.Kind kind, int runs, long silence, long left, boolean shouldRetryElsewhere) {
        Duration now = Duration.ofSeconds(100);
        assertThat(
                SilencePolicy.shouldRetryElsewhere(
                        TestFleet.route(kind, 2),
                        runs,
                        now.minusMillis(silence),
                        now.plusMillis(left),
                        now),
                is(shouldRetryElsewhere));
    }
}
