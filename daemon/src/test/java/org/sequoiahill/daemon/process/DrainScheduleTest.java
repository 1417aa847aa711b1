package org.sequoiahill.daemon.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link DrainSchedule}. */
final class DrainScheduleTest {
    /** How late a signal may be timed that was sent earlier, as a fraction of the timeout. */
    private static final double SIGNAL_DELAY = 1.0 / 40;

    /** Time to write final responses and to close connections. */
    private static final long MIN_END_MILLIS = 500;

    @ParameterizedTest
    @CsvSource({
        // timeout until the process is killed; when requests are refused, and ended; in ms
        "8000, 2500, 7100",
        "7200, 2400, 6300",
        "4000, 1333, 3500",
        "60000, 2500, 59100"
    })
    void of_drainTimeout_endsRequestsWithinItsLastSixthAndBeforeTheKill(
            long timeout, long probeGrace, long end) {
        DrainSchedule schedule = DrainSchedule.of(Duration.ofMillis(timeout));
        long actualEnd = schedule.end().toMillis();
        assertThat((double) actualEnd, greaterThan(timeout * (5.0 / 6 + SIGNAL_DELAY)));
        assertThat(timeout - actualEnd, greaterThanOrEqualTo(MIN_END_MILLIS));
        assertThat(schedule.probeGrace(), is(Duration.ofMillis(probeGrace)));
        assertThat(actualEnd, is(end));
    }
}
