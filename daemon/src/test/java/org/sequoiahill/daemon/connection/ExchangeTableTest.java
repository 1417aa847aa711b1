package org.sequoiahill.daemon.connection;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sequoiahill.daemon.connection.ExchangeTable.Report;
import org.sequoiahill.daemon.connection.LivenessTracker.PeerState;

final class ExchangeTableTest {
    private static final int MAX_PAST = 2;
    private static final Duration AGE = Duration.ofSeconds(1);

    private Duration mNow = Duration.ZERO;
    private final ExchangeTable mTable = ExchangeTable.of(() -> mNow, MAX_PAST);

    ExchangeTableTest() {
        // The table was created at time zero.
        mNow = Duration.ofMinutes(1);
    }

    @Test
    void begin_barredBefore_isRefused() {
        assertThat(mTable.reportOrBar("a", AGE).state(), equalTo(PeerState.BARRED));
        assertThat(mTable.begin("a", () -> 0), equalTo(false));
        assertThat(mTable.reportOrBar("a", AGE).state(), equalTo(PeerState.BARRED));
    }

    @Test
    void begin_twice_startsOnce() {
        assertThat(mTable.begin("a", () -> 0), equalTo(true));
        assertThat(mTable.begin("a", () -> 0), equalTo(false));
        mTable.end("a");
        assertThat(mTable.begin("a", () -> 0), equalTo(false));
    }

    @Test
    void reportOrBar_running_countsBytesSent() {
        mTable.begin("a", () -> 17);

        assertThat(mTable.reportOrBar("a", AGE), equalTo(new Report(PeerState.RUNNING, 17)));
    }

    @Test
    void reportOrBar_ended_isEnded() {
        mTable.begin("a", () -> 0);
        mTable.end("a");

        assertThat(mTable.reportOrBar("a", AGE).state(), equalTo(PeerState.ENDED));
    }

    @Test
    void reportOrBar_begunBeforeThisProcess_isUnknown() {
        Duration sinceStart = mNow;

        assertThat(mTable.reportOrBar("a", sinceStart).state(), equalTo(PeerState.UNKNOWN));
        assertThat(mTable.begin("a", () -> 0), equalTo(true));
    }

    @Test
    void reportOrBar_endedAndEvictedByCount_isUnknown() {
        for (String id : new String[] {"a", "b", "c"}) {
            mTable.begin(id, () -> 0);
            mTable.end(id);
        }
        mNow = mNow.plus(AGE);

        assertThat(mTable.pastSize(), equalTo(MAX_PAST));
        assertThat(mTable.reportOrBar("a", AGE).state(), equalTo(PeerState.UNKNOWN));
    }

    @Test
    void reportOrBar_endedAndEvictedByTime_isUnknown() {
        mTable.begin("a", () -> 0);
        mTable.end("a");
        mNow = mNow.plus(ExchangeTable.RETENTION).plusSeconds(1);
        mTable.begin("b", () -> 0);
        mTable.end("b");

        Duration age = ExchangeTable.RETENTION.plusSeconds(2);
        assertThat(mTable.reportOrBar("a", age).state(), equalTo(PeerState.UNKNOWN));
    }
}
