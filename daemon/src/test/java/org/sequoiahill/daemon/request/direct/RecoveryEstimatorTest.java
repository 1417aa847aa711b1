package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link RecoveryEstimator}. */
final class RecoveryEstimatorTest {
    private final RecoveryEstimator mEstimator = RecoveryEstimator.of(Duration.ofMillis(400));

    @ParameterizedTest
    @CsvSource({
        // time since the model was first not served, estimated time, both in milliseconds
        "0, 5000",
        "3000, 2000",
        "4800, 400",
        "60000, 400"
    })
    void onNotServed_sinceATime_estimatesTheRemainingReloadTime(long since, long estimated) {
        mEstimator.onNotServed(Duration.ofSeconds(100));
        Duration now = Duration.ofSeconds(100).plusMillis(since);
        assertThat(mEstimator.onNotServed(now).toMillis(), is(estimated));
    }

    @Test
    void onNotServed_servedInBetween_restartsTheEstimate() {
        mEstimator.onNotServed(Duration.ofSeconds(100));
        mEstimator.onServed();
        assertThat(mEstimator.onNotServed(Duration.ofSeconds(104)), is(Duration.ofSeconds(5)));
    }
}
