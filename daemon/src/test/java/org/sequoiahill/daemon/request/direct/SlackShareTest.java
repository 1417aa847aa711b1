package org.sequoiahill.daemon.request.direct;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.time.ManualClock;

/** Tests of {@link SlackShare}. */
final class SlackShareTest {
    private static final Duration LONG_CONTACT = Duration.ofMinutes(5);

    private final ManualClock mClock = new ManualClock();
    private Optional<Duration> mContactSince = Optional.empty();
    private final SlackShare mShare =
            SlackShare.of(TestFleet.SETTINGS, () -> mContactSince, mClock);

    @ParameterizedTest
    @CsvSource({
        // time in contact (ms); entries that share the slack
        "0, 0",
        "10000, 0",
        "17999, 0",
        "18000, 7"
    })
    void entryCount_inContact_isZeroUntilSlackUsedByOthersHasLeftTheWindow(
            long contactMillis, int entries) {
        mShare.update(new TestFleet().entries(7).snapshot());
        mContactSince = Optional.of(mClock.now().minusMillis(contactMillis));
        assertThat(mShare.entryCount(), is(entries));
    }

    @Test
    void entryCount_notInContact_isZero() {
        mShare.update(new TestFleet().entries(7).snapshot());
        assertThat(mShare.entryCount(), is(0));
    }

    @ParameterizedTest
    @CsvSource({
        // seconds since four of seven entries left; entries that share the slack
        "1, 7",
        "599, 7",
        "601, 3"
    })
    void entryCount_othersHaveLeft_countsThemDuringTheRetention(long seconds, int entries) {
        mShare.update(new TestFleet().entries(7).snapshot());
        mShare.update(new TestFleet().entries(3).snapshot());
        mClock.advance(Duration.ofSeconds(seconds));
        mContactSince = Optional.of(mClock.now().minus(LONG_CONTACT));
        assertThat(mShare.entryCount(), is(entries));
    }

    @ParameterizedTest
    @CsvSource({
        // entries in the snapshot before, in between and now; entries that share the slack
        "0, 0, 0, 1",
        "7, 3, 7, 7",
        "3, 3, 7, 7",
        "7, 3, 3, 7"
    })
    void entryCount_entriesJoinAndLeave_countsEachOnce(
            int before, int between, int now, int entries) {
        mShare.update(new TestFleet().entries(before).snapshot());
        mShare.update(new TestFleet().entries(between).snapshot());
        mShare.update(new TestFleet().entries(now).snapshot());
        mContactSince = Optional.of(mClock.now().minus(LONG_CONTACT));
        assertThat(mShare.entryCount(), is(entries));
    }
}
