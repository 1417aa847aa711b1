package org.sequoiahill.daemon.process.time;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link PauseDetector} and {@link SuspendAwareStopwatch} with clocks of the test. */
final class PauseDetectorTest {
    private Duration mMonotonic = Duration.ZERO;
    private Instant mWall = Instant.EPOCH;

    @ParameterizedTest
    @CsvSource({
        // time that each clock counts, in ms; elapsed time
        "300, 300, 300",
        "4000, 4000, 4000",
        "10, 4000, 4000",
        "300, -5000, 300"
    })
    void elapsed_clocksDiffer_isTheLongerTime(long monotonic, long wall, long elapsed) {
        SuspendAwareStopwatch stopwatch =
                SuspendAwareStopwatch.start(() -> mMonotonic, () -> mWall);
        advance(monotonic, wall);
        assertThat(stopwatch.elapsed(), is(Duration.ofMillis(elapsed)));
    }

    @ParameterizedTest
    @CsvSource({
        // time that each clock counts during the gap, in ms; whether it is a pause
        "200, 200, false",
        "599, 599, false",
        "600, 600, true",
        "4000, 4000, true",
        "10, 4000, true",
        "10, -4000, false"
    })
    void wasPausedWithin_afterAGap_isTrueIfOneClockCountedAPause(
            long monotonic, long wall, boolean isPause) {
        PauseDetector detector = PauseDetector.of(() -> mMonotonic, () -> mWall);
        advance(monotonic, wall);
        assertThat(detector.wasPausedWithin(Duration.ofSeconds(2)), is(isPause));
        advance(300, 300);
        assertThat(detector.wasPausedWithin(Duration.ofSeconds(2)), is(isPause));
        for (int i = 0; i < 6; i++) {
            advance(300, 300);
            detector.wasPausedWithin(Duration.ZERO);
        }
        assertThat(detector.wasPausedWithin(Duration.ofSeconds(2)), is(false));
    }

    private void advance(long monotonicMillis, long wallMillis) {
        mMonotonic = mMonotonic.plusMillis(monotonicMillis);
        mWall = mWall.plusMillis(wallMillis);
    }
}
