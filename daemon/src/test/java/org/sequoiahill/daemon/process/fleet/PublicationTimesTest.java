package org.sequoiahill.daemon.process.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.time.ManualClock;
import org.sequoiahill.protocol.gen.VersionAge;

/** Tests of {@link PublicationTimes}. */
final class PublicationTimesTest {
    private final ManualClock mClock = new ManualClock();
    private final PublicationTimes mTimes = PublicationTimes.of(mClock);

    @Test
    void ages_recentVersions_countFromWhenTheyWereFirstRecorded() {
        mTimes.record(state(2), Duration.ZERO);
        mClock.advanceMillis(2_000);
        mTimes.record(state(3), Duration.ZERO);
        mClock.advanceMillis(1_000);
        mTimes.record(state(3), Duration.ZERO);
        assertThat(mTimes.ages(), is(List.of(age(2, 3_000), age(3, 1_000))));
    }

    @ParameterizedTest
    @CsvSource({"300000, true", "300001, false"})
    void ages_oldVersion_isOmitted(long age, boolean isReported) {
        mTimes.record(state(2), Duration.ZERO);
        mClock.advanceMillis(age);
        assertThat(mTimes.ages(), is(isReported ? List.of(age(2, age)) : List.of()));
    }

    @ParameterizedTest
    @CsvSource({
        // known age, reported age, whether the time changes
        "0, 6000, true",
        "6000, 0, false",
        "6000, 6000, false",
        "6000, 6049, false",
        "6000, 6050, true"
    })
    void recordAges_knownVersion_keepsEarliestTime(long known, long reported, boolean isChanged) {
        mTimes.record(state(2), Duration.ofMillis(known));
        assertThat(mTimes.recordAges(List.of(age(2, reported))), is(isChanged));
        long expected = isChanged ? reported : known;
        assertThat(
                mTimes.histories().get("model").publishedAfter(1),
                is(Optional.of(mClock.now().minusMillis(expected))));
    }

    @Test
    void recordAges_moreVersionsThanAreKept_changesNothingAgain() {
        mTimes.record(state(20), Duration.ZERO);
        for (long version = 13; version < 20; version++) {
            assertThat(mTimes.recordAges(List.of(age(version, 100))), is(true));
        }
        assertThat(mTimes.recordAges(List.of(age(12, 100))), is(false));
    }

    private static VersionAge age(long version, long ageMillis) {
        return new VersionAge("model", version, ageMillis);
    }

    private static FleetState state(long version) {
        return new FleetState(
                version,
                0,
                ByteBuffer.allocate(0),
                Map.of(),
                Map.of(),
                Map.of("model", version),
                Map.of());
    }
}
