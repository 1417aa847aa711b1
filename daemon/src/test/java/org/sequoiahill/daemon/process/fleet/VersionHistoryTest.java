package org.sequoiahill.daemon.process.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link VersionHistory}: version 2 published at 18 s, version 3 at 20 s. */
final class VersionHistoryTest {
    private static final VersionHistory HISTORY =
            VersionHistory.NONE.with(2, Duration.ofSeconds(18)).with(3, Duration.ofSeconds(20));

    @ParameterizedTest
    @CsvSource({"17, ", "18, 2", "19, 2", "20, 3", "30, 3"})
    void newestAt_time_isNewestPublishedByThen(long second, Long version) {
        OptionalLong expected = version == null ? OptionalLong.empty() : OptionalLong.of(version);
        assertThat(HISTORY.newestAt(Duration.ofSeconds(second)), is(expected));
    }

    @ParameterizedTest
    @CsvSource({"17, 17", "18, 18", "25, 18"})
    void with_knownVersion_keepsEarliestTime(long second, long expected) {
        assertThat(
                HISTORY.with(2, Duration.ofSeconds(second)).publishedAfter(1),
                is(Optional.of(Duration.ofSeconds(expected))));
    }

    @ParameterizedTest
    @CsvSource({"1, 18", "2, 20", "3, "})
    void publishedAfter_heldVersion_isWhenFirstNewerOneWasPublished(long held, Long second) {
        assertThat(
                HISTORY.publishedAfter(held),
                is(Optional.ofNullable(second).map(Duration::ofSeconds)));
    }
}
