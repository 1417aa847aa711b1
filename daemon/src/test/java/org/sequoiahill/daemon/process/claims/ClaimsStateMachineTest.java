package org.sequoiahill.daemon.process.claims;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.control.ThriftBytes;
import org.sequoiahill.protocol.gen.ClaimCommand;
import org.sequoiahill.protocol.gen.ClaimKey;
import org.sequoiahill.protocol.gen.ClaimRequest;
import org.sequoiahill.protocol.gen.ClaimsSnapshot;
import org.sequoiahill.protocol.gen.CompleteRequest;
import org.sequoiahill.protocol.gen.Outcome;
import org.sequoiahill.protocol.gen.ReleaseRequest;
import org.sequoiahill.protocol.gen.Sender;

class ClaimsStateMachineTest {
    private static final ClaimLimits SMALL =
            new ClaimLimits(2, 10_000, 100, Duration.ofHours(1), 3, Duration.ofDays(1));
    private static final Sender SENDER = new Sender("entry-1", "ne-a", 1, 0, 1);

    private ClaimsStateMachine mStateMachine = ClaimsStateMachine.of(SMALL);
    private long mIndex;

    /** A command is: key verb attempt [content [agent]], or hours N to let time pass. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "k claim 1 x| CLAIMED",
                "k claim 1 x, k claim 1 x| CLAIMED CLAIMED",
                "k claim 1 x, k claim 2 x| CLAIMED HELD",
                "k claim 1 x, k claim 2 y| CLAIMED MISMATCH",
                "k claim 1 x, k claim 1 y| CLAIMED MISMATCH",
                "k claim 1 x, k claim 1 x other| CLAIMED HELD",
                "k lookUp 1| FREE",
                "k claim 1 x, k lookUp 9| CLAIMED HELD",
                // release: only by the same attempt, idempotent, and a late claim of it is refused
                "k claim 1 x, k release 2, k lookUp 9| CLAIMED HELD HELD",
                "k claim 1 x, k release 1, k release 1| CLAIMED FREE FREE",
                "k claim 1 x, k release 1, k claim 2 y| CLAIMED FREE CLAIMED",
                "k claim 1 x, k release 1, k claim 1 x| CLAIMED FREE EXPIRED",
                "k release 1, k claim 1 x, k claim 2 x| FREE EXPIRED CLAIMED",
                "k claim 1 x, k release 1, k claim 2 x, k release 1| CLAIMED FREE CLAIMED HELD",
                "k claim 1 x, k done 1, k release 1| CLAIMED COMPLETED COMPLETED",
                // complete: only by the holder, the first record wins
                "k claim 1 x, k done 1, k claim 2 x| CLAIMED COMPLETED COMPLETED",
                "k claim 1 x, k done 1, k unknown 1| CLAIMED COMPLETED COMPLETED",
                "k claim 1 x, k unknown 1, k done 1| CLAIMED OUTCOME_UNKNOWN OUTCOME_UNKNOWN",
                "k claim 1 x, k unknown 1, k claim 2 x| CLAIMED OUTCOME_UNKNOWN OUTCOME_UNKNOWN",
                "k claim 1 x, k done 2, k lookUp 9| CLAIMED HELD HELD",
                "k claim 1 x, k release 1, k done 1| CLAIMED FREE FREE",
                "k done 1| FREE",
                "k claim 1 x, k large 1, k claim 2 x| CLAIMED OUTCOME_UNKNOWN OUTCOME_UNKNOWN",
                // retention: an expired key is refused rather than run again
                "k claim 1 x, k done 1, hours 2, k claim 2 x| CLAIMED COMPLETED - EXPIRED",
                "k claim 1 x, hours 2, k claim 2 x, k done 1| CLAIMED - EXPIRED EXPIRED",
                "k claim 1 x, k done 1, hours 2, k lookUp 9, hours 20, k claim 2 x"
                        + "| CLAIMED COMPLETED - EXPIRED - EXPIRED",
                "k claim 1 x, k done 1, hours 2, k lookUp 9, hours 60, k claim 2 x"
                        + "| CLAIMED COMPLETED - EXPIRED - CLAIMED",
                "k claim 1 x, k done 1, hours 2, k release 2| CLAIMED COMPLETED - EXPIRED",
                "k claim 1 x, hours -5, k claim 2 x| CLAIMED - HELD",
                // limits: finished keys are evicted and then refused, held ones are not evicted
                "a claim 1 x, b claim 1 x, c claim 1 x| CLAIMED CLAIMED UNAVAILABLE",
                "a claim 1 x, a done 1, b claim 1 x, c claim 1 x, a claim 2 x"
                        + "| CLAIMED COMPLETED CLAIMED CLAIMED EXPIRED",
                "a claim 1 x, a release 1, b claim 1 x, c claim 1 x, a claim 2 x"
                        + "| CLAIMED FREE CLAIMED CLAIMED UNAVAILABLE",
                "a claim 1 x, a done 1, b claim 1 x, b done 1, c claim 1 x, c done 1, d claim 1 x,"
                        + " d done 1, e claim 1 x, e done 1, f claim 1 x, b claim 2 x| CLAIMED"
                        + " COMPLETED CLAIMED COMPLETED CLAIMED COMPLETED CLAIMED COMPLETED CLAIMED"
                        + " COMPLETED UNAVAILABLE EXPIRED",
            })
    void apply_sequence_returnsExpectedStatuses(String commands, String expected) {
        assertThat(statusesOf(commands, false), is(expected));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "k claim 1 x, k claim 2 x, k done 1, k claim 3 x, hours 2, k claim 4 x"
                        + "| CLAIMED HELD COMPLETED COMPLETED - EXPIRED",
                "a claim 1 x, a release 1, a claim 1 x, b claim 1 x, b unknown 1, b claim 2 x"
                        + "| CLAIMED FREE EXPIRED CLAIMED OUTCOME_UNKNOWN OUTCOME_UNKNOWN",
            })
    void restore_afterEveryCommand_changesNoStatus(String commands, String expected) {
        assertThat(statusesOf(commands, true), is(expected));
    }

    @Test
    void snapshot_sameCommands_hasSameBytes() {
        statusesOf("a claim 1 x, a done 1, b claim 1 x, hours 2, c claim 1 x", false);
        byte[] first = mStateMachine.snapshot();
        mStateMachine = ClaimsStateMachine.of(SMALL);
        mNowHours = 0;
        statusesOf("a claim 1 x, a done 1, b claim 1 x, hours 2, c claim 1 x", true);

        assertThat(mStateMachine.snapshot(), is(first));
    }

    @Test
    void restore_otherFormat_isRefused() {
        ClaimsSnapshot snapshot = new ClaimsSnapshot(7, 0, List.of(), List.of(), List.of());

        assertThrows(
                IllegalStateException.class,
                () -> mStateMachine.restore(ThriftBytes.write(snapshot)));
    }

    @Test
    void apply_incompleteCommand_isRefusedAndChangesNothing() {
        mStateMachine.apply(1, ThriftBytes.write(new ClaimCommand(0)));
        mStateMachine.apply(2, ThriftBytes.write(new ClaimCommand(0).setClaim(new ClaimRequest())));

        assertThat(mStateMachine.decisionAt(2).orElseThrow().status().name(), is("UNAVAILABLE"));
        assertThat(mStateMachine.size(), is(0));
    }

    @Test
    void apply_manyClaims_staysWithinByteLimit() {
        ClaimLimits limits =
                new ClaimLimits(1_000, 5_000, 100, Duration.ofHours(1), 10_000, Duration.ofDays(1));
        mStateMachine = ClaimsStateMachine.of(limits);
        for (int i = 0; i < 500; i++) {
            statusesOf("k" + i + " claim 1 x, k" + i + " done 1", false);
        }

        assertThat(mStateMachine.bytes(), lessThanOrEqualTo(5_000L));
        assertThat(statusesOf("k0 claim 2 x", false), is("EXPIRED"));
        assertThat(statusesOf("k499 claim 2 x", false), is("COMPLETED"));
    }

    private long mNowHours;

    private String statusesOf(String commands, boolean isRestarting) {
        List<String> statuses = new ArrayList<>();
        for (String command : commands.strip().split(", ", -1)) {
            statuses.add(statusOf(command.split(" ", -1)));
            if (isRestarting) {
                byte[] snapshot = mStateMachine.snapshot();
                mStateMachine = ClaimsStateMachine.of(SMALL);
                mStateMachine.restore(snapshot);
            }
        }
        return String.join(" ", statuses);
    }

    private String statusOf(String[] words) {
        if (words[0].equals("hours")) {
            mNowHours += Long.parseLong(words[1]);
            return "-";
        }
        mStateMachine.apply(++mIndex, ThriftBytes.write(commandOf(words)));
        return mStateMachine.decisionAt(mIndex).orElseThrow().status().name();
    }

    private ClaimCommand commandOf(String[] words) {
        ClaimCommand command = new ClaimCommand(Duration.ofHours(mNowHours).toMillis());
        ClaimKey key = new ClaimKey("parents", "ledger", "/entries", words[0]);
        long attempt = Long.parseLong(words[2]);
        String content = words.length > 3 ? words[3] : "";
        String agent = words.length > 4 ? words[4] : "agent-1";
        ClaimRequest request =
                new ClaimRequest(
                        SENDER,
                        key,
                        ByteBuffer.wrap(content.getBytes(StandardCharsets.UTF_8)),
                        attempt,
                        agent,
                        1);
        return switch (words[1]) {
            case "claim" -> command.setClaim(request);
            case "lookUp" -> command.setLookUp(request);
            case "release" -> command.setRelease(new ReleaseRequest(SENDER, key, attempt));
            case "done" -> command.setComplete(completeOf(key, attempt, 10));
            case "large" -> command.setComplete(completeOf(key, attempt, 101));
            default -> command.setComplete(new CompleteRequest(SENDER, key, attempt, false));
        };
    }

    private static CompleteRequest completeOf(ClaimKey key, long attempt, int bytes) {
        return new CompleteRequest(SENDER, key, attempt, true)
                .setOutcome(new Outcome(200, "text/plain", ByteBuffer.allocate(bytes)));
    }
}
