package org.sequoiahill.daemon.request.once;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiahill.daemon.request.once.RunOnceSimulation.ExchangeResult;
import org.sequoiahill.daemon.request.once.RunOnceSimulation.Fault;

final class RunOnceFaultTableTest {
    private static final int MAX_STEPS = 8;
    private static final int RESENDS = 3;

    static Stream<Arguments> pairsOfFaults() {
        List<Arguments> pairs = new ArrayList<>();
        for (Fault first : Fault.values()) {
            for (Fault second : Fault.values()) {
                for (int step = 1; step <= MAX_STEPS; step++) {
                    pairs.add(Arguments.of(first, second, step));
                }
            }
        }
        return pairs.stream();
    }

    @ParameterizedTest(name = "{0}, then {1} at step {2}")
    @MethodSource("pairsOfFaults")
    void resend_afterFaultsAtAnyTwoSteps_runsAtMostOnceAndReportsTruthfully(
            Fault first, Fault second, int secondStep) {
        for (int firstStep = 1; firstStep <= MAX_STEPS; firstStep++) {
            RunOnceSimulation simulation = new RunOnceSimulation();
            List<ExchangeResult> results = new ArrayList<>();
            results.add(simulation.exchange(firstStep, first));
            results.add(simulation.exchange(secondStep, second));
            for (int i = 0; i < RESENDS; i++) {
                results.add(simulation.exchange(0, Fault.NONE));
            }
            assertThat(simulation.ledgerRuns(), lessThanOrEqualTo(1));
            results.forEach(RunOnceFaultTableTest::assertTruthful);
        }
    }

    private static void assertTruthful(ExchangeResult result) {
        RunOnceAction action = result.action().orElse(null);
        boolean isRefusedNotRun =
                action instanceof RunOnceAction.Refuse refuse && refuse.refusal().isNotRun();
        if (isRefusedNotRun || action instanceof RunOnceAction.NotRun) {
            assertThat(
                    "runs of an attempt that was reported as not run",
                    result.ownRuns(),
                    equalTo(0));
        }
        if (action instanceof RunOnceAction.Answer answer) {
            assertThat(answer.response(), equalTo(RunOnceSimulation.response(1)));
        }
    }

    static Stream<Arguments> faultsWithoutAgentRestart() {
        List<Arguments> faults = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            if (fault.name().startsWith("AGENT")) {
                continue;
            }
            for (int step = 1; step <= MAX_STEPS; step++) {
                faults.add(Arguments.of(fault, step));
            }
        }
        return faults.stream();
    }

    @ParameterizedTest(name = "{0} at step {1}")
    @MethodSource("faultsWithoutAgentRestart")
    void resend_agentNotRestarted_returnsTheResponse(Fault fault, int step) {
        RunOnceSimulation simulation = new RunOnceSimulation();
        simulation.exchange(step, fault);

        simulation.exchange(0, Fault.NONE);
        ExchangeResult last = simulation.exchange(0, Fault.NONE);

        RunOnceAction replay = new RunOnceAction.Answer(RunOnceSimulation.response(1), true);
        assertThat(last.action(), equalTo(Optional.of(replay)));
        assertThat(simulation.ledgerRuns(), equalTo(1));
    }

    @Test
    void resend_agentRestartedWhileRunning_alwaysReturnsOutcomeUnknown() {
        RunOnceSimulation simulation = new RunOnceSimulation();

        simulation.exchange(2, Fault.AGENT_RESTARTS_WITHIN);

        RunOnceAction unknown = new RunOnceAction.Refuse(RunOnceRefusal.OUTCOME_UNKNOWN);
        assertThat(simulation.exchange(0, Fault.NONE).action(), equalTo(Optional.of(unknown)));
        assertThat(simulation.exchange(0, Fault.NONE).action(), equalTo(Optional.of(unknown)));
        assertThat(simulation.ledgerRuns(), equalTo(1));
    }
}
