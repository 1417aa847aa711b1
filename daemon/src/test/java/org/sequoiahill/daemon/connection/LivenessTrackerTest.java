package org.sequoiahill.daemon.connection;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiahill.daemon.connection.LivenessTracker.Limits;
import org.sequoiahill.daemon.connection.LivenessTracker.PeerState;
import org.sequoiahill.daemon.connection.LivenessTracker.Verdict;

final class LivenessTrackerTest {
    private static final Duration QUIET_TIME = Duration.ofSeconds(1);
    private static final Limits LIMITS = new Limits(QUIET_TIME, 2);

    /** One event of a tracker, a quiet time after the previous one. */
    @FunctionalInterface
    interface Step {
        Verdict at(LivenessTracker tracker, Duration now);
    }

    private static Step check() {
        return LivenessTracker::check;
    }

    private static Step status(PeerState state, long sent) {
        return (tracker, now) -> tracker.statusReceived(state, sent, now);
    }

    private static Step queryFailed() {
        return LivenessTracker::queryFailed;
    }

    private static Step received(long total) {
        return (tracker, now) -> {
            tracker.received(total, now);
            return tracker.check(now);
        };
    }

    private static Step waiting(boolean isWaiting) {
        return (tracker, now) -> {
            tracker.setWaiting(isWaiting, now);
            return tracker.check(now);
        };
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of("queried after the quiet time", List.of(check()), Verdict.ASK),
                Arguments.of("bytes arrive", List.of(received(5)), Verdict.ALIVE),
                Arguments.of("queried once only", List.of(check(), check()), Verdict.ALIVE),
                Arguments.of(
                        "slow but running",
                        List.of(check(), status(PeerState.RUNNING, 0)),
                        Verdict.ALIVE),
                Arguments.of(
                        "slow for a long time",
                        List.of(
                                check(),
                                status(PeerState.RUNNING, 0),
                                check(),
                                status(PeerState.RUNNING, 0)),
                        Verdict.ALIVE),
                Arguments.of(
                        "never arrived",
                        List.of(check(), status(PeerState.BARRED, 0)),
                        Verdict.NEVER_ARRIVED),
                Arguments.of(
                        "status unknown",
                        List.of(check(), status(PeerState.UNKNOWN, 0)),
                        Verdict.SILENT),
                Arguments.of(
                        "peer ahead once, bytes may be in transit",
                        List.of(received(5), check(), status(PeerState.RUNNING, 9)),
                        Verdict.ALIVE),
                Arguments.of(
                        "peer ahead twice",
                        List.of(
                                received(5),
                                check(),
                                status(PeerState.RUNNING, 9),
                                check(),
                                status(PeerState.RUNNING, 9)),
                        Verdict.SILENT),
                Arguments.of(
                        "ended at the peer twice, end never arrived",
                        List.of(
                                check(),
                                status(PeerState.ENDED, 0),
                                check(),
                                status(PeerState.ENDED, 0)),
                        Verdict.SILENT),
                Arguments.of(
                        "peer ahead, then bytes arrive",
                        List.of(
                                check(),
                                status(PeerState.RUNNING, 9),
                                received(9),
                                check(),
                                status(PeerState.RUNNING, 12)),
                        Verdict.ALIVE),
                Arguments.of("one query failed", List.of(check(), queryFailed()), Verdict.ALIVE),
                Arguments.of(
                        "queries failed in a row",
                        List.of(check(), queryFailed(), check(), queryFailed()),
                        Verdict.PEER_GONE),
                Arguments.of(
                        "queries failed, not in a row",
                        List.of(
                                check(),
                                queryFailed(),
                                check(),
                                status(PeerState.RUNNING, 0),
                                check(),
                                queryFailed()),
                        Verdict.ALIVE),
                Arguments.of(
                        "reader demands nothing", List.of(waiting(false), check()), Verdict.ALIVE),
                Arguments.of(
                        "reader demands bytes again",
                        List.of(waiting(false), waiting(true), check()),
                        Verdict.ASK),
                Arguments.of(
                        "status after bytes is ignored",
                        List.of(check(), received(3), status(PeerState.BARRED, 0)),
                        Verdict.ALIVE));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void verdict_afterSteps_isAsExpected(String name, List<Step> steps, Verdict expected) {
        LivenessTracker tracker = LivenessTracker.of(LIMITS, Duration.ZERO);
        Verdict verdict = Verdict.ALIVE;
        Duration now = Duration.ZERO;
        for (Step step : steps) {
            now = now.plus(QUIET_TIME);
            verdict = step.at(tracker, now);
        }

        assertThat(name, verdict, equalTo(expected));
    }
}
