package org.sequoiahill.daemon.request.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.FleetState;
import org.sequoiahill.daemon.process.time.ManualClock;
import org.sequoiahill.protocol.gen.EndpointState;

/** Tests which unanswered attempts count as lost at the death of their endpoint. */
final class UnansweredAttemptsTest {
    private static final String SERVICE = "s";

    private final ManualClock mClock = new ManualClock();
    private final Duration mStart = mClock.now();
    private final List<String> mSilent = new ArrayList<>();
    private final List<UnansweredAttempts.Death> mDeaths = new ArrayList<>();
    private final Map<String, Duration> mSentAt = new HashMap<>();
    private FleetSnapshot mSnapshot = snapshot(endpoint("e", 1, EndpointState.READY));
    private final UnansweredAttempts mUnanswered =
            UnansweredAttempts.of(() -> mSnapshot, mClock, mDeaths::add, mSilent::addAll);

    @ParameterizedTest
    @CsvSource({
        // what happens, a step after another; the deaths: attempts, and when it had died in ms
        "add:a 3000 gone, [a]@1000",
        "add:a 3000 restarted, [a]@1000",
        "add:a 500 gone, [a]@500",
        "add:a 4000 end:a 1000 gone, [a]@1000",
        "gone 500 add:a, [a]@500",
        "add:a 300 add:b 3000 gone, '[a, b]@1000'",
        "add:a 2000 add:b 3000 gone, [a]@1000",
        "add:a 2000 answered:c 100 add:b 3000 gone, [a]@2000",
        "add:a 2000 answered:c add:b 3000 gone, '[a, b]@2000'",
        "add:a 2000 gone 1000 gone, [a]@1000",
        "add:a add:a 2000 gone, [a]@1000",
        "add:a 3000 answered:a 100 gone, ''",
        "add:a 3000 remove:a 100 gone, ''",
        "add:a 2000 end:a 100 answered:b 100 gone, ''",
        "add:a 2000 answered:b 100 end:a 100 gone, [a]@2000",
        "add:a 3000 draining 100 gone, ''",
        "add:a 3000 blind 100 ready 100 answered:a gone, ''",
        "add:a 3000 blind, ''",
        "add:a 31000 add-other:b 100 gone, ''",
        "add:a 29000 add-other:b 100 gone, [a]@1000",
        "add:a 3000 ready, ''",
        "add:a 3000 gone add:a 100 add:a 100 gone, [a]@1000",
        "add:a 3000 gone 100 add:b 100 gone, [a]@1000",
        "add:a 3000 draining 100 add:a 100 gone, ''"
    })
    void attempts_endpointIsNoLongerReported_areLostIfItMayHaveDiedOfThem(
            String steps, String deaths) {
        for (String step : steps.split(" ", -1)) {
            play(step);
        }
        List<String> seen = new ArrayList<>();
        for (UnansweredAttempts.Death death : mDeaths) {
            seen.add(
                    new TreeSet<>(death.sentAtByTrait().keySet())
                            + "@"
                            + death.diedAt().minus(mStart).toMillis());
        }
        assertThat(String.join(" ", seen), is(deaths));
    }

    @ParameterizedTest
    @CsvSource({
        // what happens, a step after another; attempts that count as left unanswered
        "add:a 1100 add:a, a",
        "add:a 1100 add:a add:a 500 add:a, a",
        "add:a 500 end:a, ''",
        "add:a 500 end:a 500 add:b 2000 add:b, b",
        "add:a 500 end:a 600 gone, a",
        "add:a 1100 add:a 1000 gone, a",
        "add:a 500 answered:a, ''",
        "add:a 1100 add:a gone 100 add:a 100 add:a, a",
        "add:a 500 draining 2000 add:a, ''"
    })
    void attempts_withoutAnAnswerForSomeTime_countAsLostOnce(String steps, String lost) {
        for (String step : steps.split(" ", -1)) {
            play(step);
        }
        assertThat(String.join(" ", mSilent), is(lost));
    }

    private void play(String step) {
        String[] words = step.split(":", -1);
        EndpointInfo endpoint = endpoint("e", 1, EndpointState.READY);
        switch (words[0]) {
            case "add" -> add(endpoint, words[1]);
            case "add-other" -> add(endpoint("other", 1, EndpointState.READY), words[1]);
            case "end" -> mUnanswered.end(words[1], endpoint);
            case "remove" -> mUnanswered.remove(words[1], endpoint);
            case "answered" -> mUnanswered.onAnswered(words[1], endpoint, mClock.now());
            case "gone" -> update(snapshot(endpoint("other", 1, EndpointState.READY)));
            case "restarted" -> update(snapshot(endpoint("e", 2, EndpointState.READY)));
            case "draining" -> update(snapshot(endpoint("e", 1, EndpointState.DRAINING)));
            case "ready" -> update(snapshot(endpoint));
            case "blind" -> update(FleetSnapshot.EMPTY);
            default -> mClock.advance(Duration.ofMillis(Long.parseLong(words[0])));
        }
    }

    private void add(EndpointInfo endpoint, String attempt) {
        Duration sentAt = mSentAt.computeIfAbsent(attempt, key -> mClock.now());
        mUnanswered.add(attempt, endpoint, List.of(attempt), Optional.empty(), sentAt);
    }

    private void update(FleetSnapshot snapshot) {
        mSnapshot = snapshot;
        mUnanswered.update(snapshot);
    }

    private static FleetSnapshot snapshot(EndpointInfo endpoint) {
        EndpointInfo other = endpoint("other", 1, EndpointState.READY);
        List<EndpointInfo> endpoints =
                endpoint.id().equals("other") ? List.of(other) : List.of(endpoint, other);
        return FleetSnapshot.of(
                FleetState.EMPTY,
                Optional.empty(),
                Map.of(SERVICE, endpoints),
                List.of(),
                Map.of(),
                0);
    }

    private static EndpointInfo endpoint(String id, long startedAt, EndpointState state) {
        EndpointInfo engine = SimulatedMembers.engine(id, startedAt);
        return new EndpointInfo(
                engine.id(),
                engine.startedAt(),
                engine.sequence(),
                engine.service(),
                engine.address(),
                engine.dataCentre(),
                engine.slots(),
                state,
                engine.coldUntil(),
                engine.versions());
    }
}
