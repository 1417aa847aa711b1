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
    private static final Duration QUIET = Duration.ofSeconds(1);
    private static final Limits BOUNDS = new Limits(QUIET, 2);

    /** One thing that happens to a tracker, a quiet time after the one before. */
    @FunctionalInterface
    interface Step {
        Verdict at(LivenessTracker tracker, Duration now);
    }

    private static Step check() {
        return LivenessTracker::check;
    }

    private static Step told(PeerState state, long sent) {
        return (tracker, now) -> tracker.statusReceived(state, sent, now);
    }

    private static Step lost() {
        return LivenessTracker::queryFailed;
    }

    private static Step received(long total) {
        return (tracker, now) -> {
            tracker.received(total, now);
            return tracker.check(now);
        };
    }

    private static Step waits(boolean isWaiting) {
        return (tracker, now) -> {
            tracker.setWaiting(isWaiting, now);
            return tracker.check(now);
        };
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of("quiet is asked", List.of(check()), Verdict.ASK),
                Arguments.of("bytes come", List.of(received(5)), Verdict.ALIVE),
                Arguments.of("asked once", List.of(check(), check()), Verdict.ALIVE),
                Arguments.of(
                        "slow but running",
                        List.of(check(), told(PeerState.RUNNING, 0)),
                        Verdict.ALIVE),
                Arguments.of(
                        "slow for long",
                        List.of(
                                check(),
                                told(PeerState.RUNNING, 0),
                                check(),
                                told(PeerState.RUNNING, 0)),
                        Verdict.ALIVE),
                Arguments.of(
                        "never arrived",
                        List.of(check(), told(PeerState.BARRED, 0)),
                        Verdict.NEVER_ARRIVED),
                Arguments.of(
                        "forgotten", List.of(check(), told(PeerState.UNKNOWN, 0)), Verdict.SILENT),
                Arguments.of(
                        "ahead once may be on its way",
                        List.of(received(5), check(), told(PeerState.RUNNING, 9)),
                        Verdict.ALIVE),
                Arguments.of(
                        "ahead twice",
                        List.of(
                                received(5),
                                check(),
                                told(PeerState.RUNNING, 9),
                                check(),
                                told(PeerState.RUNNING, 9)),
                        Verdict.SILENT),
                Arguments.of(
                        "ended twice, end never came",
                        List.of(
                                check(),
                                told(PeerState.ENDED, 0),
                                check(),
                                told(PeerState.ENDED, 0)),
                        Verdict.SILENT),
                Arguments.of(
                        "ahead, then bytes came",
                        List.of(
                                check(),
                                told(PeerState.RUNNING, 9),
                                received(9),
                                check(),
                                told(PeerState.RUNNING, 12)),
                        Verdict.ALIVE),
                Arguments.of("one ask lost", List.of(check(), lost()), Verdict.ALIVE),
                Arguments.of(
                        "asks lost in a row",
                        List.of(check(), lost(), check(), lost()),
                        Verdict.PEER_GONE),
                Arguments.of(
                        "asks lost, not in a row",
                        List.of(
                                check(),
                                lost(),
                                check(),
                                told(PeerState.RUNNING, 0),
                                check(),
                                lost()),
                        Verdict.ALIVE),
                Arguments.of("reader stands still", List.of(waits(false), check()), Verdict.ALIVE),
                Arguments.of(
                        "reader goes on", List.of(waits(false), waits(true), check()), Verdict.ASK),
                Arguments.of(
                        "answer after bytes is late",
                        List.of(check(), received(3), told(PeerState.BARRED, 0)),
                        Verdict.ALIVE));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void verdict_afterSteps_isAsStated(String name, List<Step> steps, Verdict expected) {
        LivenessTracker tracker = LivenessTracker.of(BOUNDS, Duration.ZERO);
        Verdict verdict = Verdict.ALIVE;
        Duration now = Duration.ZERO;
        for (Step step : steps) {
            now = now.plus(QUIET);
            verdict = step.at(tracker, now);
        }

        assertThat(name, verdict, equalTo(expected));
    }
}
