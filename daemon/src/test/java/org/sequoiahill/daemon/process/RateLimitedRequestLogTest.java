package org.sequoiahill.daemon.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.request.direct.RequestLog;

/** Tests which requests have a line in a second with more requests than lines. */
final class RateLimitedRequestLogTest {
    private static final int FLOOD = 3 * RateLimitedRequestLog.LINES_PER_SECOND;

    private final List<String> mInfos = new ArrayList<>();
    private final List<String> mWarnings = new ArrayList<>();
    private final RateLimitedRequestLog mLog =
            RateLimitedRequestLog.to(
                    (isWarning, line) -> (isWarning ? mWarnings : mInfos).add(line),
                    new SimpleMeterRegistry(),
                    () -> Duration.ofSeconds(5));

    @ParameterizedTest
    @CsvSource({
        // outcome and status of a request after a flood; whether it has a line, and as a warning
        "entry_leaving, 200, true, true",
        "broken, 200, true, true",
        "timeout, 200, true, true",
        "answered, 200, false, false",
        "entry_leaving, 503, false, false",
        "caller_gone, 0, false, false",
        "outcome_unknown, 502, false, false"
    })
    void requestCompleted_afterAFloodOfOthers_truncatedResponsesHaveALine(
            String outcome, int status, boolean hasLine, boolean isWarning) {
        for (int i = 0; i < FLOOD; i++) {
            mLog.requestCompleted(entry("answered-" + i, "answered", 200));
            mLog.requestCompleted(entry("refused-" + i, "no_room", 503));
        }
        mLog.requestCompleted(entry("last", outcome, status));
        assertThat(hasLine(mWarnings), is(isWarning));
        assertThat(hasLine(mInfos), is(hasLine && !isWarning));
    }

    private static boolean hasLine(List<String> lines) {
        return lines.stream().anyMatch(line -> line.contains("\"request\":\"last\""));
    }

    private static RequestLog.Entry entry(String id, String outcome, int status) {
        return new RequestLog.Entry(
                id,
                "route",
                "",
                1,
                1,
                status,
                outcome,
                "",
                "",
                List.of(),
                Duration.ZERO,
                Duration.ZERO);
    }
}
