package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link RecoveryEstimator}. */
final class RecoveryEstimatorTest {
    private final RecoveryEstimator mForecast = RecoveryEstimator.of(Duration.ofMillis(400));

    @ParameterizedTest
    @CsvSource({
        // time since the model was first found gone, time that is predicted, both in milliseconds
        "0, 5000",
        "3000, 2000",
        "4800, 400",
        "60000, 400"
    })
    void gone_sinceATime_predictsWhatIsLeftOfAReload(long since, long predicted) {
        mForecast.onNotServed(Duration.ofSeconds(100));
        Duration now = Duration.ofSeconds(100).plusMillis(since);
        assertThat(mForecast.onNotServed(now).toMillis(), is(predicted));
    }

    @Test
    void gone_servedInBetween_beginsAnew() {
        mForecast.onNotServed(Duration.ofSeconds(100));
        mForecast.onServed();
        assertThat(mForecast.onNotServed(Duration.ofSeconds(104)), is(Duration.ofSeconds(5)));
    }
}
