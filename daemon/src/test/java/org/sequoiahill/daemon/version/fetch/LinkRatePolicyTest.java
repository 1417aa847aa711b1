package org.sequoiahill.daemon.version.fetch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LinkRatePolicyTest {
    private static final LinkRatePolicy POLICY = LinkRatePolicy.of(1_000);

    @ParameterizedTest
    @CsvSource({
        "1000, 20, 20, 1000",
        "1000, 20, 25, 1000",
        "1000, 20, 26, 500",
        "500, 20, 26, 250",
        "30, 20, 26, 20",
        "20, 20, 100, 20",
        "500, 20, 20, 550",
        "990, 20, 20, 1000",
        "500, 20, 0, 550",
        "500, 0, 100, 550",
    })
    void next_latency_halvesOrIncreases(double rate, long base, long latency, double expected) {
        double next = POLICY.next(rate, Duration.ofMillis(base), Duration.ofMillis(latency));
        assertThat(next, is(expected));
    }

    @Test
    void adjust_requestsSlowDuringTransfers_decreasesAndRecovers() {
        TransferCounts counts = TransferCounts.create();
        TokenBucket bucket = TokenBucket.of(() -> Duration.ZERO, 1_000, Duration.ofMillis(50));
        LinkRateController controller = LinkRateController.of(POLICY, List.of(bucket), counts);
        controller.recordFirstByteLatency(Duration.ofMillis(20));
        controller.adjust();
        for (int i = 0; i < 3; i++) {
            counts.sent(1);
            controller.recordFirstByteLatency(Duration.ofMillis(60));
            controller.adjust();
        }
        assertThat(bucket.rate(), is(125.0));
        for (int i = 0; i < 20; i++) {
            counts.sent(1);
            controller.recordFirstByteLatency(Duration.ofMillis(20));
            controller.adjust();
        }
        assertThat(bucket.rate(), is(1_000.0));
    }

    @Test
    void reserve_manyReservations_staysWithinRateAndBurst() {
        AtomicReference<Duration> now = new AtomicReference<>(Duration.ZERO);
        TokenBucket bucket = TokenBucket.of(now::get, 1_000, Duration.ofMillis(100));
        long reserved = 0;
        for (int i = 0; i < 200; i++) {
            Duration wait = bucket.reserve(37);
            reserved += 37;
            now.set(now.get().plus(wait));
        }
        assertThat(reserved, lessThanOrEqualTo(now.get().toMillis() + 100));
    }
}
