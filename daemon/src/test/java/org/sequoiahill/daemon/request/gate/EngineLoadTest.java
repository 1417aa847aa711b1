package org.sequoiahill.daemon.request.gate;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class EngineLoadTest {
    private static final Duration NOW = Duration.ofSeconds(100);

    @ParameterizedTest
    @CsvSource({
        "the gate's own requests are no excess, 4, 4, 0, 0, 0",
        "requests from other sources, 4, 6, 0, 0, 2",
        "requests queued at the engine, 4, 2, 2, 0, 2",
        "a report older than the requests, 4, 0, 0, 1000, 0",
        "an old report has half the weight, 4, 8, 0, 1000, 2",
        "a very old report is ignored, 4, 50, 50, 2000, 0",
    })
    void excess_report_isWeightedByAge(
            String what, int own, int running, int waiting, long ageMillis, int expected) {
        EngineLoad load = EngineLoad.unknown();
        load.sampleOwn(NOW.minusSeconds(3), own);
        load.sampleOwn(NOW, own);
        load.update(new EngineLoad.Report(running, waiting, NOW.minusMillis(ageMillis)));
        assertThat(what, load.excess(NOW), is(expected));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"running\":3,\"waiting\":2,\"lagMillis\":500} | 3/2/99500",
                "{\"running\":3} | 3/0/100000",
                "{\"running\":-1,\"waiting\":-5,\"lagMillis\":-9} | 0/0/100000",
                "{\"versionDigest\":\"\"} | ''",
                "{\"running\":\"many\"} | ''",
                "not json | ''",
                "'' | ''",
            })
    void parse_body_returnsReportOrEmpty(String body, String expected) {
        Optional<EngineLoad.Report> report =
                EngineLoadPoller.parse(body.getBytes(StandardCharsets.UTF_8), NOW);
        String text =
                report.map(r -> r.running() + "/" + r.waiting() + "/" + r.asOf().toMillis())
                        .orElse("");
        assertThat(text, is(expected));
    }
}
