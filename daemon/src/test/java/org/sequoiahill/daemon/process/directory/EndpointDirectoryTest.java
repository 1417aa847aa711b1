package org.sequoiahill.daemon.process.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.Renewal;
import org.sequoiahill.protocol.gen.Sender;

final class EndpointDirectoryTest {
    private Duration mNow = Duration.ofSeconds(10);
    private final EndpointDirectory mDirectory = EndpointDirectory.of(() -> mNow);

    /**
     * Steps: a announces INCARNATION.SEQUENCE, followed by L if the endpoint is leaving or C if it
     * is not serving; r renews INCARNATION.ANNOUNCED.SEQUENCE; later advances the clock by MILLIS.
     */
    @ParameterizedTest
    @CsvSource({
        "announced, a:5.1, 1",
        "not serving, a:5.1.C, 0",
        "leaving, a:5.1 a:5.2.L, 0",
        "late announcement from before leaving, a:5.2.L a:5.1, 0",
        "late announcement of an earlier incarnation, a:5.1.C a:4.9, 0",
        "returned with a new incarnation, a:5.2.L a:6.1, 1",
        "expired, a:5.1 later:4000, 0",
        "renewed, a:5.1 later:3000 r:5.1.2 later:3000, 1",
        "an outdated renewal does not renew, a:5.1 r:5.1.3 later:3000 r:5.1.2 later:3000, 0",
        "a renewal after leaving, a:5.1 a:5.2.L r:5.1.3, 0",
        "a renewal of an earlier incarnation, a:5.1 later:3000 r:4.1.9 later:3000, 0",
    })
    void serving_afterSteps_isAsExpected(String what, String steps, int expected) {
        apply(steps);
        assertThat(what, mDirectory.serving("s").size(), is(expected));
    }

    @ParameterizedTest
    @CsvSource({
        "held, a:5.1, 5, 1, true",
        "never announced, '', 5, 1, false",
        "a newer announcement is missing, a:5.1, 5, 2, false",
        "a newer announcement is held, a:5.3, 5, 2, true",
        "a newer incarnation is missing, a:5.1, 6, 1, false",
        "a newer incarnation is held, a:6.1, 5, 1, true",
    })
    void renew_announcement_isKnownOrMissing(
            String what, String steps, long incarnation, long announced, boolean expected) {
        apply(steps);
        assertThat(what, mDirectory.renew(renewal(incarnation, announced, 100)), is(expected));
    }

    /**
     * The target size is 350 daemons in 7 data centres, with 42 agents and 8 entries in each. The
     * message sizes are those that the daemons' counters report; each propagation message is sent
     * once and received once.
     */
    @ParameterizedTest
    @CsvSource({"5, 3", "14, 3", "42, 8", "100, 8", "280, 8"})
    void intervals_anySize_keepTrafficWithinLimit(int agents, int entries) {
        DirectoryIntervals intervals = DirectoryIntervals.of(agents, entries);
        double agentsPerEntry = (double) agents / entries;
        double bytes = agentsPerEntry * 345 + 2 * (entries - 1) * (140 + 25 * agentsPerEntry);
        double perSecond = bytes * 1_000 / intervals.renewal().toMillis();
        assertThat(perSecond, lessThanOrEqualTo(2_050.0));
    }

    private void apply(String steps) {
        for (String step : steps.isEmpty() ? new String[0] : steps.split(" ")) {
            String[] parts = step.split("[:.]");
            switch (parts[0]) {
                case "a" ->
                        mDirectory.announce(
                                announcement(
                                        Long.parseLong(parts[1]),
                                        Long.parseLong(parts[2]),
                                        parts.length > 3 ? parts[3] : ""));
                case "r" ->
                        mDirectory.renew(
                                renewal(
                                        Long.parseLong(parts[1]),
                                        Long.parseLong(parts[2]),
                                        Long.parseLong(parts[3])));
                default -> mNow = mNow.plusMillis(Long.parseLong(parts[1]));
            }
        }
    }

    private static Announcement announcement(long incarnation, long sequence, String flag) {
        return new Announcement()
                .setSender(new Sender("vm", "x", incarnation, 0, 1))
                .setServiceName("s")
                .setDataAddress("x:1")
                .setLimit(1)
                .setServing(!flag.equals("C"))
                .setLeaving(flag.equals("L"))
                .setSequence(sequence);
    }

    private static Renewal renewal(long incarnation, long announced, long sequence) {
        return new Renewal("vm", incarnation, announced, sequence, 0, 1);
    }
}
