package org.sequoiahill.daemon.request.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiahill.daemon.request.stream.ParkingPolicy.Reader;

final class ParkingPolicyTest {
    private static final ParkingPolicy POLICY = new ParkingPolicy(100, Duration.ofSeconds(5));
    private static final Duration NOW = Duration.ofSeconds(60);

    static Stream<Arguments> cases() {
        Reader stalled = reader("stalled", 40, true, 50);
        Reader brieflyFull = reader("briefly-full", 40, true, 58);
        Reader idle = reader("idle", 0, false, 10);
        Reader slow = reader("slow", 40, false, 51);
        Reader fast = reader("fast", 40, false, 59);
        return Stream.of(
                Arguments.of("no readers", List.of(), List.of()),
                Arguments.of("within the limit", List.of(slow, fast), List.of()),
                Arguments.of("stalled with a full buffer", List.of(stalled), List.of("stalled")),
                Arguments.of("full for a short time", List.of(brieflyFull), List.of()),
                Arguments.of("nothing buffered", List.of(idle), List.of()),
                Arguments.of(
                        "over the limit parks the slowest",
                        List.of(fast, brieflyFull, slow),
                        List.of("slow")),
                Arguments.of(
                        "a reader with an empty buffer is not parked",
                        List.of(idle, fast, brieflyFull, slow),
                        List.of("slow")),
                Arguments.of(
                        "parking a stalled reader reduces the surplus",
                        List.of(stalled, slow, fast),
                        List.of("stalled")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void streamsToPark_readers_areAsExpected(
            String name, List<Reader> readers, List<String> parked) {
        long buffered = readers.stream().mapToLong(Reader::buffered).sum();

        assertThat(name, POLICY.streamsToPark(readers, buffered, NOW), equalTo(parked));
    }

    private static Reader reader(String id, long buffered, boolean isFull, long lastRead) {
        return new Reader(id, buffered, isFull, Duration.ofSeconds(lastRead));
    }
}
