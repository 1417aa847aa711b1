package org.sequoiahill.daemon.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.request.gate.EngineLoad;
import org.sequoiahill.daemon.request.gate.SlowStart;

final class EndpointGateTest {
    private Duration mNow = Duration.ofSeconds(10);

    /**
     * Steps: in and alone ask to enter (with bytes behind a star), out ends the oldest, done
     * answers the oldest and ends it. The result of each asking step is a letter: permit, full, not
     * serving, leaving.
     */
    @ParameterizedTest
    @CsvSource({
        "closed, in, n",
        "cold takes one, open:a in in, pf",
        "room again at the end, open:a in out in, pp",
        "a success lets two in, open:a in done in in in, pppf",
        "a new version is cold, open:a in done open:b in in, ppf",
        "the same version again changes nothing, open:a in done open:a in in in, pppf",
        "bytes are bounded, open:a in*60 done in*60 in*60, ppf",
        "one body over the bound, open:a in*101, f",
        "leaving, open:a in leaving in, pl",
        "a lost endpoint is cold, open:a in done in done lost in in, pppf",
        "alone beside none, open:a in done alone in, ppf",
        "none beside alone and then some, open:a in done alone out in in, pppp",
        "alone waits, open:a in alone, pf",
        "the endpoint is reserved for alone, open:a in done in alone out in alone, ppffp",
        "a reservation lapses, open:a in done in alone out later:1000 in, ppfp",
        "reservations are paused, open:a in done in alone out later:1000 in alone in, ppfpfp",
        "excess of the engine lowers the limit, open:a in done in done in done report:3 in in, pppp"
                + " f",
    })
    void enter_afterSteps_isAsExpected(String what, String steps, String expected) {
        EndpointGate gate =
                EndpointGate.closed(() -> mNow, 100, SlowStart.cold(8, SlowStart.WarmUp.none()));
        Deque<EndpointGate.Permit> inside = new ArrayDeque<>();
        StringBuilder results = new StringBuilder();
        for (String step : steps.split(" ")) {
            String[] parts = step.split("[:*]");
            switch (parts[0]) {
                case "in" -> enter(gate, parts.length > 1 ? parts[1] : "1", false, inside, results);
                case "alone" -> enter(gate, "1", true, inside, results);
                case "out" -> gate.release(inside.removeFirst());
                case "done" -> {
                    gate.responseStarted(inside.getFirst());
                    gate.release(inside.removeFirst());
                }
                case "lost" -> gate.endpointLost(permitOf(gate, inside));
                case "open" -> gate.open(parts[1]);
                case "later" -> mNow = mNow.plusMillis(Long.parseLong(parts[1]));
                case "report" -> {
                    gate.report(new EngineLoad.Report(Integer.parseInt(parts[1]), 0, mNow));
                }
                case "leaving" -> gate.shutDown();
                default -> throw new IllegalArgumentException(step);
            }
        }
        assertThat(what, results.toString(), is(expected.replace(" ", "")));
    }

    @Test
    void close_requestsRun_completesAtTheLastEnd() {
        EndpointGate gate = EndpointGate.closed(() -> mNow, 100, SlowStart.disabled(8));
        gate.open("a");
        EndpointGate.Permit first = (EndpointGate.Permit) gate.enter(1, false);
        EndpointGate.Permit second = (EndpointGate.Permit) gate.enter(1, false);
        CompletableFuture<Void> idle = gate.close();
        gate.release(first);
        assertThat(idle.isDone(), is(false));
        gate.release(second);
        assertThat(idle.isDone(), is(true));
    }

    private static EndpointGate.Permit permitOf(
            EndpointGate gate, Deque<EndpointGate.Permit> inside) {
        if (!inside.isEmpty()) {
            return inside.getFirst();
        }
        EndpointGate.Permit permit = (EndpointGate.Permit) gate.enter(1, false);
        gate.release(permit);
        return permit;
    }

    private static void enter(
            EndpointGate gate,
            String bytes,
            boolean isAlone,
            Deque<EndpointGate.Permit> inside,
            StringBuilder results) {
        EndpointGate.EnterResult entrance = gate.enter(Long.parseLong(bytes), isAlone);
        if (entrance instanceof EndpointGate.Permit permit) {
            inside.add(permit);
            results.append('p');
        } else if (entrance instanceof EndpointGate.Refused refused) {
            results.append(
                    switch (refused.cause()) {
                        case FULL -> 'f';
                        case NOT_SERVING -> 'n';
                        case LEAVING -> 'l';
                    });
        }
    }
}
