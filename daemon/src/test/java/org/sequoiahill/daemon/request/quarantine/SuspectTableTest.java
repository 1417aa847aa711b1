package org.sequoiahill.daemon.request.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiahill.daemon.request.quarantine.SuspectTable.Suspect;

final class SuspectTableTest {
    private static final int MAX_RECORDS = 3;
    private static final ByteBuffer FINGERPRINT = ByteBuffer.wrap(new byte[] {1});

    private Duration mNow = Duration.ofHours(1);
    private final SuspectTable mTable = newTable();

    /**
     * Cases: name, ids of deaths, time that passes after each, whether suspect, whether
     * quarantined.
     */
    static Stream<Arguments> cases() {
        Duration minute = Duration.ofMinutes(1);
        Duration expired = SuspectTable.RETENTION.plus(minute);
        return Stream.of(
                Arguments.of("no death", List.of(), List.of(), false, false),
                Arguments.of("one death", List.of(1L), List.of(minute), true, false),
                Arguments.of("two deaths", List.of(1L, 2L), List.of(minute, minute), true, true),
                Arguments.of(
                        "one death reported twice",
                        List.of(1L, 1L),
                        List.of(minute, minute),
                        true,
                        false),
                Arguments.of("one old death", List.of(1L), List.of(expired), false, false),
                Arguments.of(
                        "two deaths far apart",
                        List.of(1L, 2L),
                        List.of(expired, minute),
                        true,
                        false),
                Arguments.of(
                        "two old deaths", List.of(1L, 2L), List.of(minute, expired), false, false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void isSuspectAndRemainingQuarantine_afterDeaths_areAsExpected(
            String name,
            List<Long> deaths,
            List<Duration> waits,
            boolean isSuspect,
            boolean isQuarantined) {
        for (int i = 0; i < deaths.size(); i++) {
            mTable.add(suspect(FINGERPRINT, deaths.get(i)));
            mNow = mNow.plus(waits.get(i));
        }

        assertThat(name, mTable.isSuspect(FINGERPRINT), equalTo(isSuspect));
        assertThat(
                name, mTable.remainingQuarantine(FINGERPRINT).isPresent(), equalTo(isQuarantined));
    }

    @Test
    void remainingQuarantine_twoDeaths_isTheTimeLeft() {
        mTable.add(suspect(FINGERPRINT, 1));
        mTable.add(suspect(FINGERPRINT, 2));
        mNow = mNow.plusSeconds(60);

        Duration remaining = SuspectTable.RETENTION.minusSeconds(60);
        assertThat(mTable.remainingQuarantine(FINGERPRINT), equalTo(Optional.of(remaining)));
    }

    @Test
    void add_moreThanTheMaximum_evictsTheOldest() {
        for (byte i = 0; i < 2 * MAX_RECORDS; i++) {
            mTable.add(suspect(ByteBuffer.wrap(new byte[] {i}), i));
        }

        assertThat(mTable.size(), equalTo(MAX_RECORDS));
        assertThat(mTable.isSuspect(ByteBuffer.wrap(new byte[] {0})), equalTo(false));
        assertThat(mTable.isSuspect(ByteBuffer.wrap(new byte[] {5})), equalTo(true));
    }

    @Test
    void resend_tenTimesAtEntriesThatExchangeSuspects_killsAtMostTwoEndpoints() {
        List<SuspectTable> entries = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            entries.add(newTable());
        }
        int deadEndpoints = 0;
        for (int resend = 0; resend < 10; resend++) {
            SuspectTable entry = entries.get(resend);
            if (entry.remainingQuarantine(FINGERPRINT).isEmpty()) {
                Suspect suspect = suspect(FINGERPRINT, ++deadEndpoints);
                entries.forEach(table -> table.add(suspect));
            }
        }

        assertThat(deadEndpoints, lessThanOrEqualTo(2));
    }

    private SuspectTable newTable() {
        return SuspectTable.of(() -> mNow, MAX_RECORDS);
    }

    private static Suspect suspect(ByteBuffer fingerprint, long death) {
        return new Suspect(fingerprint, Set.of(death), Duration.ZERO);
    }
}
