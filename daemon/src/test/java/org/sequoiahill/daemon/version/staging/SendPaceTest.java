package org.sequoiahill.daemon.version.staging;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sequoiahill.daemon.process.time.ManualClock;

/** Tests of {@link SendPace} with a clock that stands still. */
final class SendPaceTest {
    private final ManualClock mClock = new ManualClock();
    private final SendPace mPace = new SendPace(mClock, 1_000);

    @Test
    void await_linkIsFree_comesAtOnce() throws InterruptedException {
        assertThat(mPace.await("a", 500, Duration.ZERO), is(true));
    }

    @Test
    void await_linkIsTaken_comesOnceTheBytesAreThrough() throws InterruptedException {
        mPace.await("a", 500, Duration.ZERO);
        assertThat(mPace.await("b", 500, Duration.ZERO), is(false));
        mClock.advanceMillis(499);
        assertThat(mPace.await("b", 500, Duration.ZERO), is(false));
        mClock.advanceMillis(1);
        assertThat(mPace.await("b", 500, Duration.ZERO), is(true));
    }
}
