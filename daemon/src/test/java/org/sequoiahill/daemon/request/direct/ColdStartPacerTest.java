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

/** Plays all entries of a fleet that want to send to one cold endpoint. */
final class ColdStartPacerTest {
    private static final int STEP_MILLIS = 5;
    private static final int SIMULATED_MILLIS = 20_000;

    @ParameterizedTest
    @CsvSource({
        // entries, rate, by how much the entries differ about the end of the phase, when the
        // requests begin, milliseconds; requests in any second beyond the rate times 1.5: 5
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
    void isOpen_allEntriesTogether_stayBelowTheBoundInAnySecond(
            int entries, double rate, int skewMillis, int beginMillis) {
        List<Integer> sent = simulate(entries, rate, skewMillis, beginMillis);
        int most = 0;
        for (int first = 0; first < sent.size(); first++) {
            int last = first;
            while (last < sent.size() && sent.get(last) < sent.get(first) + 1_000) {
                last++;
            }
            most = Math.max(most, last - first);
        }
        assertThat((double) most, lessThanOrEqualTo(rate * 1.5 + 5));
        double perSecond = sent.size() * 1_000.0 / (SIMULATED_MILLIS - beginMillis);
        assertThat(perSecond, greaterThan(rate * 0.5));
    }

    @Test
    void isOpen_slotThatPassedUnused_isLost() {
        ColdStartPacer pace = new ColdStartPacer();
        EntryRank share = new EntryRank(0, 10);
        Duration coldUntil = Duration.ofSeconds(60);
        int open = 0;
        for (int millis = 0; millis < 60_000; millis += STEP_MILLIS) {
            open += pace.maySend(Duration.ofMillis(millis), coldUntil, 10, share) ? 1 : 0;
        }
        assertThat(open * STEP_MILLIS, lessThanOrEqualTo(60_000 / 5));
        assertThat(open, greaterThan(0));
    }

    @Test
    void isOpen_afterASending_isClosedForTheRestOfTheSlot() {
        ColdStartPacer pace = new ColdStartPacer();
        EntryRank share = new EntryRank(0, 10);
        Duration now = Duration.ofSeconds(60);
        assertThat(pace.maySend(now, now, 10, share), is(true));
        pace.recordSent(now);
        assertThat(pace.maySend(now.plusMillis(5), now, 10, share), is(false));
    }

    /** Returns when requests were sent, in milliseconds; all entries have always one to send. */
    private static List<Integer> simulate(
            int entries, double rate, int skewMillis, int beginMillis) {
        Random random = new Random(entries);
        List<ColdStartPacer> paces = new ArrayList<>();
        List<Duration> ends = new ArrayList<>();
        for (int entry = 0; entry < entries; entry++) {
            paces.add(new ColdStartPacer());
            ends.add(Duration.ofMillis(SIMULATED_MILLIS + random.nextInt(skewMillis + 1)));
        }
        List<Integer> sent = new ArrayList<>();
        for (int millis = beginMillis; millis < SIMULATED_MILLIS; millis += STEP_MILLIS) {
            Duration now = Duration.ofMillis(millis);
            for (int entry = 0; entry < entries; entry++) {
                EntryRank share = new EntryRank(entry, entries);
                if (paces.get(entry).maySend(now, ends.get(entry), rate, share)) {
                    paces.get(entry).recordSent(now);
                    sent.add(millis);
                }
            }
        }
        return sent;
    }
}
