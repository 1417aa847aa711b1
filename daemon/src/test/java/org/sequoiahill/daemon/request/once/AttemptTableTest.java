package org.sequoiahill.daemon.request.once;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.sequoiahill.daemon.request.once.AttemptTable.StartResult;

final class AttemptTableTest {
    private static final String KEY = "a".repeat(64);
    private static final long START_MILLIS = 1_000_000_000L;
    private static final int MAX_RECORDS = 3;
    private static final long MAX_RESPONSE_BYTES = 10;

    private long mMillis = START_MILLIS;
    private final AttemptTable mTable =
            AttemptTable.of(
                    7, () -> Instant.ofEpochMilli(mMillis), MAX_RECORDS, MAX_RESPONSE_BYTES);

    @Test
    void start_barredBefore_isRefused() {
        assertThat(mTable.bar(ticket(0)), equalTo(new BarVerdict.Barred()));
        assertThat(mTable.start(ticket(0)), equalTo(StartResult.BARRED));
    }

    @Test
    void start_twice_startsOnce() {
        assertThat(mTable.start(ticket(0)), equalTo(StartResult.STARTED));
        assertThat(mTable.start(ticket(0)), equalTo(StartResult.ALREADY_STARTED));
        assertThat(mTable.bar(ticket(0)), equalTo(new BarVerdict.Running()));
    }

    @Test
    void start_otherIncarnation_isRefused() {
        AttemptTicket old = new AttemptTicket(6, ticket(0).attempt(), KEY);

        assertThat(mTable.start(old), equalTo(StartResult.OTHER_INCARNATION));
        assertThat(mTable.bar(old), equalTo(new BarVerdict.OtherIncarnation()));
    }

    @Test
    void bar_completed_returnsTheResponse() {
        mTable.start(ticket(0));
        mTable.complete(ticket(0), response("x"));

        assertThat(mTable.bar(ticket(0)), equalTo(new BarVerdict.Done(response("x"))));
    }

    @Test
    void bar_markedLost_isLost() {
        mTable.start(ticket(0));
        mTable.markLost(ticket(0));

        assertThat(mTable.bar(ticket(0)), equalTo(new BarVerdict.Lost()));
    }

    @Test
    void start_recordEvicted_isRefused() {
        mTable.bar(ticket(0));
        mMillis += AttemptTable.RETENTION.plusMillis(1).toMillis();

        assertThat(mTable.start(ticket(0)), equalTo(StartResult.OUTSIDE_TIME_WINDOW));
        assertThat(mTable.bar(ticket(0)), equalTo(new BarVerdict.Forgotten()));
        assertThat(mTable.size(), equalTo(0));
    }

    @Test
    void start_clockFarAhead_isRefused() {
        long ahead = AttemptTable.RETENTION.plusMillis(1).toMillis();

        assertThat(mTable.start(ticket(ahead)), equalTo(StartResult.OUTSIDE_TIME_WINDOW));
    }

    @Test
    void start_evictedAndClockSetBack_isStillRefused() {
        mTable.bar(ticket(0));
        mMillis += AttemptTable.RETENTION.plus(Duration.ofMinutes(1)).toMillis();
        mTable.start(ticket(Duration.ofMinutes(11).toMillis()));
        mMillis = START_MILLIS;

        assertThat(mTable.start(ticket(0)), equalTo(StartResult.OUTSIDE_TIME_WINDOW));
    }

    @Test
    void start_tableFull_isRefusedAndEvictsNothing() {
        for (int i = 0; i < MAX_RECORDS; i++) {
            mTable.bar(ticket(i));
        }

        assertThat(mTable.start(ticket(MAX_RECORDS)), equalTo(StartResult.FULL));
        assertThat(mTable.start(ticket(0)), equalTo(StartResult.BARRED));
        assertThat(mTable.bar(ticket(MAX_RECORDS)), instanceOf(BarVerdict.Running.class));
        assertThat(mTable.size(), lessThanOrEqualTo(MAX_RECORDS));
    }

    @Test
    void complete_responsesOverTheLimit_evictsTheOldest() {
        mTable.start(ticket(0));
        mTable.start(ticket(1));
        mTable.complete(ticket(0), response("123456"));
        mTable.complete(ticket(1), response("123456"));

        assertThat(mTable.bar(ticket(0)), equalTo(new BarVerdict.Lost()));
        assertThat(mTable.bar(ticket(1)), equalTo(new BarVerdict.Done(response("123456"))));
    }

    private static AttemptTicket ticket(long afterMillis) {
        return new AttemptTicket(7, (START_MILLIS + afterMillis) << 22, KEY);
    }

    private static RecordedResponse response(String body) {
        return RecordedResponse.of(201, "", body.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }
}
