package org.sequoiahill.daemon.request.gate;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SlowStartTest {
    /**
     * Steps: N*MS is N responses with a time to first byte of MS ms while the limit is fully used;
     * idle*MS is one without concurrent requests; wait*MS is the oldest request's wait. The steps
     * error, lost and restart are a server error, a lost endpoint and a restart of the limit.
     */
    @ParameterizedTest
    @CsvSource({
        "started, '', 1",
        "one success, 1*20, 2",
        "growth after each round of successes, 3*20, 3",
        "growth by half the limit, 10*20, 6",
        "never above the capacity, 40*20, 8",
        "an unused limit does not grow, 3*20 idle*20 idle*20 idle*20, 3",
        "one slow response in a round is tolerated, 16*20 1*900, 8",
        "mostly slow responses in a round halve, 16*20 8*900, 4",
        "halves once a round, 16*20 7*900, 4",
        "grows slowly after a halving, 16*20 8*900 5*20, 5",
        "an error halves, 16*20 error, 4",
        "two errors in a round halve once, 16*20 error error, 4",
        "a lost endpoint starts from one, 16*20 lost, 1",
        "a lost endpoint grows again, 16*20 lost 3*20, 3",
        "a lost endpoint grows by one above half, 16*20 lost 10*20, 5",
        "several losses at once count once, 16*20 lost lost lost 10*20, 5",
        "a restart starts from one, 16*20 restart, 1",
        "a long wait halves without a response, 16*20 wait*900, 4",
        "a short wait does not halve, 16*20 wait*60, 8",
        "nothing is slow before the first response, wait*9000, 1",
        "responses under the minimum slow time are never slow, 15*2 16*90, 8",
        "the first responses define the typical time, 16*900, 8",
    })
    void limit_afterSteps_isAsExpected(String what, String steps, int expected) {
        SlowStart limit = SlowStart.cold(8, SlowStart.WarmUp.none());
        apply(limit, steps);
        assertThat(what, limit.limit(), is(expected));
    }

    @ParameterizedTest
    @CsvSource({
        "never above the cold limit, 11*20, 3",
        "still cold one response before the end of the warm-up, 11*20, 3",
        "warm at the last response of the warm-up, 12*20, 4",
        "grows further once it is warm, 60*20, 8",
        "a lost endpoint is cold again, 60*20 lost 11*20, 3",
        "a restarted endpoint is cold again, 60*20 restart 11*20, 3",
    })
    void limit_coldEndpoint_staysWithinTheColdLimit(String what, String steps, int expected) {
        SlowStart limit = SlowStart.cold(8, new SlowStart.WarmUp(3, 12));
        apply(limit, steps);
        assertThat(what, limit.limit(), is(expected));
    }

    @Test
    void limit_endpointStaysSlow_growsAgain() {
        SlowStart limit = SlowStart.cold(8, SlowStart.WarmUp.none());
        apply(limit, "16*20 16*400");
        int halved = limit.limit();
        apply(limit, "400*400");
        assertThat(limit.limit(), greaterThan(halved));
    }

    @Test
    void limit_disabled_isAlwaysTheCapacity() {
        SlowStart limit = SlowStart.disabled(8);
        apply(limit, "lost error restart");
        assertThat(limit.limit(), is(8));
    }

    private static void apply(SlowStart limit, String steps) {
        for (String step : steps.isEmpty() ? new String[0] : steps.split(" ")) {
            String[] parts = step.split("\\*");
            switch (parts[0]) {
                case "error" -> limit.responseFailed();
                case "lost" -> limit.endpointLost();
                case "restart" -> limit.restart();
                case "wait" -> limit.oldestWaiting(millis(parts[1]));
                case "idle" -> limit.responseStarted(millis(parts[1]), 1);
                default -> {
                    for (int i = 0; i < Integer.parseInt(parts[0]); i++) {
                        limit.responseStarted(millis(parts[1]), limit.limit());
                    }
                }
            }
        }
    }

    private static Duration millis(String text) {
        return Duration.ofMillis(Long.parseLong(text));
    }
}
