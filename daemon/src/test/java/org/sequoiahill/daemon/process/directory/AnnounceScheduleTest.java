package org.sequoiahill.daemon.process.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.Sender;

final class AnnounceScheduleTest {
    private final AnnounceSchedule mSchedule =
            new AnnounceSchedule("vm", List.of("e1", "e2", "e3", "e4", "e5"));
    private final Announcement mAnnouncement =
            new Announcement().setSender(new Sender("vm", "x", 1, 0, 1)).setServing(true);
    private Duration mNow = Duration.ofSeconds(10);

    /**
     * Steps: due asks for the messages to send; ok acknowledges all messages of the last due that
     * returned any, with a lease of 4 s or the given milliseconds; fail and missing apply to its
     * first message; load, change and revision change the announcement; later advances the clock by
     * the given milliseconds. Each due yields one letter per message, a for announce and r for
     * renew, in capitals if the entry propagates it.
     */
    @ParameterizedTest
    @CsvSource({
        "first announcement goes to three entries, due, Aaa",
        "nothing is repeated at once, due ok due, Aaa|",
        "renewal goes to one entry, due ok later:1000 due, Aaa|R",
        "load alone is not a change, due ok load later:1000 due, Aaa|R",
        "a change goes to three entries, due ok change due, Aaa|Aaa",
        "a new configuration revision is a change, due ok revision due, Aaa|Aaa",
        "lost reply is followed by another announcement, due later:1000 due, Aaa|Aaa",
        "another entry replaces one that failed, due ok fail due, Aaa|a",
        "a missing announcement is sent again, due ok missing due, Aaa|A",
        "the entry with a longer lease is renewed less often, due ok:8000 later:1000 due ok:8000"
                + " later:1000 due, Aaa|R|",
    })
    void due_afterSteps_isAsExpected(String what, String steps, String expected) {
        StringBuilder results = new StringBuilder();
        List<AnnounceSchedule.Message> last = List.of();
        for (String step : steps.split(" ")) {
            String[] parts = step.split(":");
            switch (parts[0]) {
                case "due" -> {
                    List<AnnounceSchedule.Message> messages =
                            mSchedule.due(new Announcement(mAnnouncement), mNow);
                    results.append(results.length() > 0 ? "|" : "").append(describe(messages));
                    last = messages.isEmpty() ? last : messages;
                }
                case "ok" -> {
                    long lease = parts.length > 1 ? Long.parseLong(parts[1]) : 4_000;
                    last.forEach(
                            m ->
                                    mSchedule.onAcknowledged(
                                            m.entry(), m.announced(), Duration.ofMillis(lease)));
                }
                case "fail" -> mSchedule.onFailure(last.get(0).entry(), mNow);
                case "missing" -> mSchedule.onUnknownAnnouncement(last.get(0).entry());
                case "load" -> mAnnouncement.setRunning(mAnnouncement.getRunning() + 1);
                case "change" -> mAnnouncement.setServing(!mAnnouncement.isServing());
                case "revision" -> mAnnouncement.getSender().setConfigRevision(9);
                default -> mNow = mNow.plusMillis(Long.parseLong(parts[1]));
            }
        }
        assertThat(what, results.toString(), is(expected));
    }

    private static String describe(List<AnnounceSchedule.Message> messages) {
        return messages.stream()
                .map(
                        message -> {
                            String letter = message.kind().name().substring(0, 1);
                            return message.shouldPropagate()
                                    ? letter
                                    : letter.toLowerCase(Locale.ROOT);
                        })
                .collect(Collectors.joining());
    }
}
