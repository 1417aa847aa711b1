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
import org.sequoiahill.daemon.request.once.RunOnceWorld.Fault;
import org.sequoiahill.daemon.request.once.RunOnceWorld.Told;

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
    void resend_afterFaultAtEachStep_runsAtMostOnceAndTellsTheTruth(
            Fault first, Fault second, int secondStep) {
        for (int firstStep = 1; firstStep <= MAX_STEPS; firstStep++) {
            RunOnceWorld world = new RunOnceWorld();
            List<Told> told = new ArrayList<>();
            told.add(world.exchange(firstStep, first));
            told.add(world.exchange(secondStep, second));
            for (int i = 0; i < RESENDS; i++) {
                told.add(world.exchange(0, Fault.NONE));
            }
            assertThat(world.ledgerRuns(), lessThanOrEqualTo(1));
            told.forEach(RunOnceFaultTableTest::checkTruth);
        }
    }

    private static void checkTruth(Told told) {
        RunOnceAction action = told.action().orElse(null);
        boolean isRefusedNotRun =
                action instanceof RunOnceAction.Refuse refuse && refuse.refusal().isNotRun();
        if (isRefusedNotRun || action instanceof RunOnceAction.NotRun) {
            assertThat("told not run", told.ownRuns(), equalTo(0));
        }
        if (action instanceof RunOnceAction.Answer answer) {
            assertThat(answer.response(), equalTo(RunOnceWorld.answer(1)));
        }
    }

    static Stream<Arguments> faultsThatSpareTheAgent() {
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
    @MethodSource("faultsThatSpareTheAgent")
    void resend_whileAgentLives_endsWithTheAnswer(Fault fault, int step) {
        RunOnceWorld world = new RunOnceWorld();
        world.exchange(step, fault);

        world.exchange(0, Fault.NONE);
        Told last = world.exchange(0, Fault.NONE);

        RunOnceAction replay = new RunOnceAction.Answer(RunOnceWorld.answer(1), true);
        assertThat(last.action(), equalTo(Optional.of(replay)));
        assertThat(world.ledgerRuns(), equalTo(1));
    }

    @Test
    void resend_agentDiedWhileRunning_isToldUnknownForGood() {
        RunOnceWorld world = new RunOnceWorld();

        world.exchange(2, Fault.AGENT_RESTARTS_WITHIN);

        RunOnceAction unknown = new RunOnceAction.Refuse(RunOnceRefusal.OUTCOME_UNKNOWN);
        assertThat(world.exchange(0, Fault.NONE).action(), equalTo(Optional.of(unknown)));
        assertThat(world.exchange(0, Fault.NONE).action(), equalTo(Optional.of(unknown)));
        assertThat(world.ledgerRuns(), equalTo(1));
    }
}
