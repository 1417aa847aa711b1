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
    private final SlackShare mShare = SlackShare.of(Fleets.SETTINGS, () -> mContactSince, mClock);

    @ParameterizedTest
    @CsvSource({
        // milliseconds in contact; entries that divide the slack
        "0, 0",
        "10000, 0",
        "17999, 0",
        "18000, 7"
    })
    void entries_inContact_haveNoPartUntilWhatOthersSpentHasLeftTheWindow(
            long contactMillis, int entries) {
        mShare.take(new Fleets().entries(7).picture());
        mContactSince = Optional.of(mClock.now().minusMillis(contactMillis));
        assertThat(mShare.entries(), is(entries));
    }

    @Test
    void entries_notInContact_haveNoPart() {
        mShare.take(new Fleets().entries(7).picture());
        assertThat(mShare.entries(), is(0));
    }

    @ParameterizedTest
    @CsvSource({
        // seconds since four of seven entries left; entries that divide the slack
        "1, 7",
        "599, 7",
        "601, 3"
    })
    void entries_othersHaveLeft_areCountedForLong(long seconds, int entries) {
        mShare.take(new Fleets().entries(7).picture());
        mShare.take(new Fleets().entries(3).picture());
        mClock.advance(Duration.ofSeconds(seconds));
        mContactSince = Optional.of(mClock.now().minus(LONG_CONTACT));
        assertThat(mShare.entries(), is(entries));
    }

    @ParameterizedTest
    @CsvSource({
        // entries in the picture before, in between and now; entries that divide the slack
        "0, 0, 0, 1",
        "7, 3, 7, 7",
        "3, 3, 7, 7",
        "7, 3, 3, 7"
    })
    void entries_whoComeAndGo_areEachCountedOnce(int before, int between, int now, int entries) {
        mShare.take(new Fleets().entries(before).picture());
        mShare.take(new Fleets().entries(between).picture());
        mShare.take(new Fleets().entries(now).picture());
        mContactSince = Optional.of(mClock.now().minus(LONG_CONTACT));
        assertThat(mShare.entries(), is(entries));
    }
}
