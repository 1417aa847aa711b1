package org.sequoiahill.daemon.process.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiahill.protocol.gen.DataCentreChange;
import org.sequoiahill.protocol.gen.FleetChange;
import org.sequoiahill.protocol.gen.QuarantineChange;
import org.sequoiahill.protocol.gen.RoutingPut;
import org.sequoiahill.protocol.gen.WeightsChange;

/** Tests of {@link FleetStateMachine} and {@link FleetState}. */
final class FleetStateMachineTest {
    private final FleetStateMachine mMachine = FleetStateMachine.of(state -> {});
    private long mIndex;

    @ParameterizedTest
    @CsvSource({
        // numbers in the order applied, number kept, text kept
        "'1,2,3', 3, text-2",
        "'3,1,2', 3, text-0",
        "'3,3', 3, text-0",
        "'7,2,9,8', 9, text-2"
    })
    void apply_routingTables_keepsFirstTableWithHighestNumber(
            String numbers, long held, String text) {
        String[] inOrder = numbers.split(",", -1);
        for (int i = 0; i < inOrder.length; i++) {
            apply(put(Long.parseLong(inOrder[i]), "text-" + i));
        }
        assertThat(mMachine.state().routingNumber(), is(held));
        assertThat(textOf(mMachine.state()), is(text));
    }

    @Test
    void apply_dataCentreOutAndReturned_recordsBoth() {
        apply(out("dc-1", true));
        assertThat(mMachine.state().isOut("dc-1"), is(true));
        apply(out("dc-1", false));
        assertThat(mMachine.state().isOut("dc-1"), is(false));
        assertThat(mMachine.state().returnedDataCentres().get("dc-1"), is(2L));
    }

    /** Guards against a delayed order that undoes a later one of the same data centre. */
    @ParameterizedTest
    @CsvSource({
        // changes in order, + takes out and - returns, each with the index of the change that it
        // follows; those without effect; whether the data centre is out at the end
        "+0 -1, '', false",
        "+0 -1 +2 -1, '4', true",
        "+0 -1 +2 -1 -3, '4', false",
        "-0 +1 -2 +1, '4', false",
        "+0 +0 -1, '3', true",
        "+0 +0 -2, '', false",
        "+0 +1 +1 -2, '4', true",
        "+0 -1 -1 +2, '4', false",
        "+ - + -, '', false"
    })
    void apply_dataCentreOrderedBeforeALaterChange_hasNoEffect(
            String changes, String superseded, boolean isOut) {
        StringBuilder withoutEffect = new StringBuilder();
        for (String change : changes.split(" ", -1)) {
            FleetChange fleetChange = out("dc-1", change.startsWith("+"));
            if (change.length() > 1) {
                fleetChange.getDataCentre().setExpectedIndex(Long.parseLong(change.substring(1)));
            }
            apply(fleetChange);
            withoutEffect.append(mMachine.wasSuperseded(mIndex) ? mIndex : "");
        }
        assertThat(withoutEffect.toString(), is(superseded));
        assertThat(mMachine.state().isOut("dc-1"), is(isOut));
    }

    @ParameterizedTest
    @CsvSource({"'1,2', 2", "'2,1', 2", "'2,2,3', 3"})
    void apply_versions_neverGoBack(String versions, long held) {
        for (String version : versions.split(",", -1)) {
            apply(version("model", Long.parseLong(version)));
        }
        assertThat(mMachine.state().version("model", 0), is(held));
    }

    @ParameterizedTest
    @CsvSource({
        // changes in order, + to put under quarantine with failed probes, - to release; failed
        // probes held, -1 if released
        "+0, 0",
        "+0 +0, 0",
        "+0 +1 +0, 1",
        "+0 -, -1",
        "-, -1",
        "+2 - +0, 0"
    })
    void apply_quarantine_keepsMostFailedProbesUntilReleased(String changes, int failedProbes) {
        for (String change : changes.split(" ", -1)) {
            apply(
                    change.equals("-")
                            ? quarantine("trait", false, 0)
                            : quarantine("trait", true, Integer.parseInt(change.substring(1))));
        }
        assertThat(
                mMachine.state().quarantinedTraits().getOrDefault("trait", -1), is(failedProbes));
        FleetStateMachine restored = FleetStateMachine.of(state -> {});
        restored.restore(mMachine.snapshot());
        assertThat(restored.state(), is(mMachine.state()));
    }

    private static FleetChange quarantine(String trait, boolean isOn, int failedProbes) {
        return FleetChange.quarantine(new QuarantineChange(trait, isOn, failedProbes));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void restore_snapshotOfRandomState_yieldsSameState(long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < 50; i++) {
            apply(randomChange(random));
        }
        FleetStateMachine other = FleetStateMachine.of(state -> {});
        other.restore(mMachine.snapshot());
        assertThat(other.state(), is(mMachine.state()));
    }

    /** Guards against showing readers an older state while a reopened log is applied again. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void startReplay_logIsAppliedAgain_stateNeverGoesBack(long seed) {
        Random random = new Random(seed);
        List<FleetChange> changes = new ArrayList<>();
        int snapshotIndex = random.nextInt(20);
        byte[] snapshot = mMachine.snapshot();
        for (int i = 1; i <= 30; i++) {
            changes.add(randomChange(random));
            apply(changes.get(i - 1));
            snapshot = i == snapshotIndex ? mMachine.snapshot() : snapshot;
        }
        FleetState latest = mMachine.state();

        mMachine.startReplay();
        if (snapshotIndex > 0) {
            mMachine.restore(snapshot);
        }
        assertThat(mMachine.state(), is(latest));
        for (int i = snapshotIndex + 1; i <= 30; i++) {
            mMachine.apply(i, FleetStateMachine.encode(changes.get(i - 1)));
            assertThat(mMachine.state(), is(latest));
        }
        FleetStateMachine restored = FleetStateMachine.of(state -> {});
        restored.restore(mMachine.snapshot());
        assertThat(restored.state(), is(latest));
    }

    private static FleetChange randomChange(Random random) {
        return switch (random.nextInt(3)) {
            case 0 -> put(1 + random.nextInt(40), "text" + random.nextInt());
            case 1 -> out("dc-" + random.nextInt(3), random.nextBoolean());
            default -> version("model-" + random.nextInt(2), 1 + random.nextInt(9));
        };
    }

    private void apply(FleetChange change) {
        mMachine.apply(++mIndex, FleetStateMachine.encode(change));
    }

    private static FleetChange put(long number, String text) {
        RoutingPut put = new RoutingPut();
        put.setNumber(number);
        put.setContent(DeflatedText.deflate(text.getBytes(StandardCharsets.UTF_8)));
        return FleetChange.routing(put);
    }

    private static FleetChange out(String dataCentre, boolean isOut) {
        return FleetChange.dataCentre(new DataCentreChange(dataCentre, isOut));
    }

    private static FleetChange version(String model, long version) {
        return FleetChange.weights(new WeightsChange(model, version));
    }

    private static String textOf(FleetState state) {
        return new String(DeflatedText.inflate(state.routing()), StandardCharsets.UTF_8);
    }
}
