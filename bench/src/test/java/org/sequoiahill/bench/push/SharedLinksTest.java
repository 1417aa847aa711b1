package org.sequoiahill.bench.push;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.bench.admission.VirtualTime;

/**
 * Tests of {@link SharedLinks}. Rates are in bits per second; the timed transfers have ten bits.
 */
final class SharedLinksTest {
    private static final double MILLIS_PER_SECOND = 1e3;

    @ParameterizedTest
    @CsvSource({
        // rate of the common link, rate of each receiver, receivers, seconds until the last
        // transfer ends
        "10, 100, 1, 1",
        "10, 100, 5, 5",
        "10, 1, 5, 10",
        "20, 10, 2, 1"
    })
    void send_oneLinkToSeveralReceivers_takesAsLongAsTheSlowestLink(
            double common, double each, int receivers, double seconds) {
        assertThat(lastEndSeconds(common, each, receivers), closeTo(seconds, 0.001));
    }

    @ParameterizedTest
    @CsvSource({
        // rate of the common link, seconds of the fast transfer; the slow receiver has the rate
        // that this leaves, and is absent where it leaves none
        "8, 1.25",
        "12, 0.9375"
    })
    void send_oneReceiverIsSlow_otherUsesTheRemainingRate(double common, double fastSeconds) {
        VirtualTime time = new VirtualTime();
        SharedLinks links = new SharedLinks(time);
        SharedLinks.Link from = new SharedLinks.Link(common);
        List<Duration> ends = new ArrayList<>();
        double slow = common - 10 / fastSeconds;
        if (slow > 0) {
            links.send(List.of(from, new SharedLinks.Link(slow)), 100, () -> {});
        }
        links.send(List.of(from, new SharedLinks.Link(100)), 10, () -> ends.add(time.now()));
        time.runUntil(Duration.ofSeconds(20));
        assertThat(ends.get(0).toMillis() / MILLIS_PER_SECOND, closeTo(fastSeconds, 0.001));
    }

    private static double lastEndSeconds(double common, double each, int receivers) {
        VirtualTime time = new VirtualTime();
        SharedLinks links = new SharedLinks(time);
        SharedLinks.Link from = new SharedLinks.Link(common);
        List<Duration> ends = new ArrayList<>();
        for (int i = 0; i < receivers; i++) {
            links.send(List.of(from, new SharedLinks.Link(each)), 10, () -> ends.add(time.now()));
        }
        time.runUntil(Duration.ofSeconds(20));
        return ends.get(receivers - 1).toMillis() / MILLIS_PER_SECOND;
    }
}
