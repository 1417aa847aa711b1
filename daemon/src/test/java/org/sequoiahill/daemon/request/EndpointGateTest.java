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
     * Steps: "in" and "alone" try to enter ("in*60" with a body of 60 bytes), "out" releases the
     * oldest permit, "done" records the first byte of the oldest request's response and releases
     * its permit, "lost" records a request without a response, "open:a" opens the gate for version
     * a, "later:1000" advances the clock by 1000 ms, "report:3" is an engine's report of 3 running
     * requests, and "leaving" shuts the gate down. The result of each "in" and "alone" is a letter:
     * p (permit), f (full), n (not serving), l (leaving).
     */
    @ParameterizedTest
    @CsvSource({
        "closed, in, n",
        "a cold endpoint admits one, open:a in in, pf",
        "capacity is free again after the end, open:a in out in, pp",
        "a success admits two, open:a in done in in in, pppf",
        "a new version is cold, open:a in done open:b in in, ppf",
        "the same version again changes nothing, open:a in done open:a in in in, pppf",
        "bytes are limited, open:a in*60 done in*60 in*60, ppf",
        "one body over the limit, open:a in*101, f",
        "leaving, open:a in leaving in, pl",
        "a lost endpoint is cold, open:a in done in done lost in in, pppf",
        "alone without others and then none, open:a in done alone in, ppf",
        "others are admitted after alone, open:a in done alone out in in, pppp",
        "alone is refused while others run, open:a in alone, pf",
        "the endpoint is reserved for alone, open:a in done in alone out in alone, ppffp",
        "a reservation expires, open:a in done in alone out later:1000 in, ppfp",
        "reservations have a minimum interval, open:a in done in alone out later:1000 in alone in,"
                + " ppfpfp",
        "load from other sources lowers the limit, open:a in done in done in done report:3 in in,"
                + " pppp f",
    })
    void enter_afterSteps_returnsTheExpectedResults(String what, String steps, String expected) {
        EndpointGate gate =
                EndpointGate.closed(() -> mNow, 100, SlowStart.cold(8, SlowStart.WarmUp.none()));
        Deque<EndpointGate.Permit> permits = new ArrayDeque<>();
        StringBuilder results = new StringBuilder();
        for (String step : steps.split(" ")) {
            String[] parts = step.split("[:*]");
            switch (parts[0]) {
                case "in" ->
                        enter(gate, parts.length > 1 ? parts[1] : "1", false, permits, results);
                case "alone" -> enter(gate, "1", true, permits, results);
                case "out" -> gate.release(permits.removeFirst());
                case "done" -> {
                    gate.responseStarted(permits.getFirst());
                    gate.release(permits.removeFirst());
                }
                case "lost" -> gate.endpointLost(permitOf(gate, permits));
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
    void close_whileRequestsRun_completesAtTheEndOfTheLast() {
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
            EndpointGate gate, Deque<EndpointGate.Permit> permits) {
        if (!permits.isEmpty()) {
            return permits.getFirst();
        }
        EndpointGate.Permit permit = (EndpointGate.Permit) gate.enter(1, false);
        gate.release(permit);
        return permit;
    }

    private static void enter(
            EndpointGate gate,
            String bytes,
            boolean isExclusive,
            Deque<EndpointGate.Permit> permits,
            StringBuilder results) {
        EndpointGate.EnterResult result = gate.enter(Long.parseLong(bytes), isExclusive);
        if (result instanceof EndpointGate.Permit permit) {
            permits.add(permit);
            results.append('p');
        } else if (result instanceof EndpointGate.Refused refused) {
            results.append(
                    switch (refused.cause()) {
                        case FULL -> 'f';
                        case NOT_SERVING -> 'n';
                        case LEAVING -> 'l';
                    });
        }
    }
}
