package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.fleet.EntryRank;

/** Simulates all entries of a fleet that send to one cold endpoint. */
final class ColdStartPacerTest {
    private static final int STEP_MILLIS = 5;
    private static final int SIMULATED_MILLIS = 20_000;

    @ParameterizedTest
    @CsvSource({
        // number of entries, rate, difference between the entries' ends of the cold phase (ms),
        // time of the first request (ms); in any second at most 1.5 times the rate plus 5 requests
        "1, 36, 0, 0",
        "6, 36, 0, 0",
        "8, 26, 80, 0",
        "44, 17, 0, 0",
        "44, 17, 80, 0",
        "46, 17, 80, 3000",
        "49, 14, 80, 0",
        "49, 14, 80, 5000",
        "350, 14, 80, 0"
    })
    void maySend_allEntriesTogether_stayNearTheRateInAnySecond(
            int entries, double rate, int skewMillis, int beginMillis) {
        List<Integer> sent = simulate(entries, rate, skewMillis, beginMillis);
        int max = 0;
        for (int first = 0; first < sent.size(); first++) {
            int last = first;
            while (last < sent.size() && sent.get(last) < sent.get(first) + 1_000) {
                last++;
            }
            max = Math.max(max, last - first);
        }
        assertThat((double) max, lessThanOrEqualTo(rate * 1.5 + 5));
        double perSecond = sent.size() * 1_000.0 / (SIMULATED_MILLIS - beginMillis);
        assertThat(perSecond, greaterThan(rate * 0.5));
    }

    @Test
    void maySend_unusedSlot_isLost() {
        ColdStartPacer pacer = new ColdStartPacer();
        EntryRank rank = new EntryRank(0, 10);
        Duration coldUntil = Duration.ofSeconds(60);
        int openSteps = 0;
        for (int millis = 0; millis < 60_000; millis += STEP_MILLIS) {
            openSteps += pacer.maySend(Duration.ofMillis(millis), coldUntil, 10, rank) ? 1 : 0;
        }
        assertThat(openSteps * STEP_MILLIS, lessThanOrEqualTo(60_000 / 5));
        assertThat(openSteps, greaterThan(0));
    }

    @Test
    void maySend_requestSent_isFalseForTheRestOfTheSlot() {
        ColdStartPacer pacer = new ColdStartPacer();
        EntryRank rank = new EntryRank(0, 10);
        Duration now = Duration.ofSeconds(60);
        assertThat(pacer.maySend(now, now, 10, rank), is(true));
        pacer.recordSent(now);
        assertThat(pacer.maySend(now.plusMillis(5), now, 10, rank), is(false));
    }

    /**
     * Returns when requests were sent, in milliseconds; every entry always has a request to send.
     */
    private static List<Integer> simulate(
            int entries, double rate, int skewMillis, int beginMillis) {
        Random random = new Random(entries);
        List<ColdStartPacer> pacers = new ArrayList<>();
        List<Duration> ends = new ArrayList<>();
        for (int entry = 0; entry < entries; entry++) {
            pacers.add(new ColdStartPacer());
            ends.add(Duration.ofMillis(SIMULATED_MILLIS + random.nextInt(skewMillis + 1)));
        }
        List<Integer> sent = new ArrayList<>();
        for (int millis = beginMillis; millis < SIMULATED_MILLIS; millis += STEP_MILLIS) {
            Duration now = Duration.ofMillis(millis);
            for (int entry = 0; entry < entries; entry++) {
                EntryRank rank = new EntryRank(entry, entries);
                if (pacers.get(entry).maySend(now, ends.get(entry), rate, rank)) {
                    pacers.get(entry).recordSent(now);
                    sent.add(millis);
                }
            }
        }
        return sent;
    }
}
