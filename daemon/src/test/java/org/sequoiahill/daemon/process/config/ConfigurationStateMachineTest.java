package org.sequoiahill.daemon.process.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ThriftBytes;
import org.sequoiahill.protocol.audit.AuditChain;
import org.sequoiahill.protocol.gen.AuditEntry;
import org.sequoiahill.protocol.gen.AuditPage;
import org.sequoiahill.protocol.gen.AuditQuery;
import org.sequoiahill.protocol.gen.ConfigurationProposal;
import org.sequoiahill.protocol.gen.ConfigurationState;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.DocumentKind;
import org.sequoiahill.protocol.gen.WriteResult;

class ConfigurationStateMachineTest {
    private static final ConfigurationLimits SMALL =
            new ConfigurationLimits(3, 2_000, 2_500, 4, 100_000, 3, 6, 100_000);
    private static final Identity IDENTITY = Identity.of("store-1", "ne-a", 1);

    private ConfigurationView mView = ConfigurationView.of(IDENTITY);
    private ConfigurationStateMachine mStateMachine =
            ConfigurationStateMachine.of(IDENTITY, mView, SMALL);
    private long mIndex;

    /**
     * A change is: id actor@team name replaced-revision version [extra]. A result is the status and
     * the revision, with ":version" of the winner in a conflict.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "c1 ann@* desk 0 v1| ACCEPTED1",
                "c1 ann@* desk 0 v1, c2 ann@* desk 1 v2| ACCEPTED1 ACCEPTED2",
                // two operators replace the same revision: one wins, the other gets the winner
                "c1 ann@* desk 0 v1, c2 bob@* desk 0 v2| ACCEPTED1 CONFLICT1:v1",
                "c1 ann@* desk 0 v1, c2 ann@* desk 1 v2, c3 bob@* desk 1 v3"
                        + "| ACCEPTED1 ACCEPTED2 CONFLICT2:v2",
                "c1 ann@* desk 7 v1| CONFLICT0",
                // a resend gets the first result, whatever was changed in between
                "c1 ann@* desk 0 v1, c1 ann@* desk 0 v1| ACCEPTED1 ACCEPTED1",
                "c1 ann@* desk 0 v1, c2 bob@* desk 1 v2, c1 ann@* desk 0 v1"
                        + "| ACCEPTED1 ACCEPTED2 ACCEPTED1",
                "c1 ann@* desk 0 v1, c2 bob@* desk 0 v2, c3 ann@* desk 1 v3, c2 bob@* desk 0 v2"
                        + "| ACCEPTED1 CONFLICT1:v1 ACCEPTED2 CONFLICT1:v1",
                "c1 ann@* desk 0 v1, c1 ann@* desk 1 v1| ACCEPTED1 ACCEPTED1",
                "c1 ann@* desk 0 v1, c1 ann@* desk 1 v2| ACCEPTED1 INVALID1",
                "c1 ann@* desk 0 v1, c1 bob@* desk 0 v1| ACCEPTED1 INVALID1",
                // beyond the limit of four results the first is evicted; its resend changes nothing
                "c1 ann@* desk 0 v1, c2 a@* desk 0 v2, c3 a@* desk 0 v2, c4 a@* desk 0 v2,"
                        + " c5 a@* desk 0 v2, c1 ann@* desk 0 v1"
                        + "| ACCEPTED1 CONFLICT1:v1 CONFLICT1:v1 CONFLICT1:v1 CONFLICT1:v1"
                        + " CONFLICT1:v1",
                // ownership
                "c1 ann@letters desk 0 v1| ACCEPTED1",
                "c1 ann@mules desk 0 v1| FORBIDDEN0",
                "c1 ann@letters desk 0 v1, c2 bob@mules desk 1 v2 owner=mules"
                        + "| ACCEPTED1 FORBIDDEN1",
                // documents are checked again, and a version name is bound to its digest for ever
                "c1 ann@* desk 0 v1 bad| INVALID0",
                "c1 ann@* desk 0 v1 other-name| INVALID0",
                "c1 ann@* desk 0 v1, c2 ann@* desk 1 v2, c3 ann@* desk 2 v1 digest=b"
                        + "| ACCEPTED1 ACCEPTED2 INVALID2",
                "c1 ann@* desk 0 v1, c2 ann@* desk 1 v2, c3 ann@* desk 2 v1"
                        + "| ACCEPTED1 ACCEPTED2 ACCEPTED3",
                "c1 ann@* desk 0 v1, c2 ann@* fairy 0 v1 digest=b| ACCEPTED1 ACCEPTED2",
                // limits
                "c1 a@* d1 0 v1, c2 a@* d2 0 v1, c3 a@* d3 0 v1, c4 a@* d4 0 v1"
                        + "| ACCEPTED1 ACCEPTED2 ACCEPTED3 INVALID3",
                "c1 a@* desk 0 v1, c2 a@* desk 1 v2, c3 a@* desk 2 v3, c4 a@* desk 3 v4"
                        + "| ACCEPTED1 ACCEPTED2 ACCEPTED3 INVALID3",
                "c1 a@* desk 0 v1 pad=2000| INVALID0",
                "c1 a@* desk 0 v1 pad=1500, c2 a@* fairy 0 v1 pad=1500| ACCEPTED1 INVALID1",
                "c1 a@* desk 0 v1 pad=1500, c2 a@* desk 1 v1 pad=1600| ACCEPTED1 ACCEPTED2",
                "'' ann@* desk 0 v1| INVALID0",
            })
    void apply_changes_returnsExpectedResults(String changes, String expected) {
        assertThat(resultsOf(changes, false), is(expected));
        assertThat(mView.current().revision(), is(lastRevisionIn(expected)));
    }

    @Test
    void restore_afterEveryChange_changesNoResult() {
        String changes =
                "c1 ann@* desk 0 v1, c2 bob@* desk 0 v2, c1 ann@* desk 0 v1, c3 bob@* desk 1 v2,"
                        + " c2 bob@* desk 0 v2, c4 a@* desk 2 v1 digest=b";

        assertThat(
                resultsOf(changes, true),
                is("ACCEPTED1 CONFLICT1:v1 ACCEPTED1 ACCEPTED2 CONFLICT1:v1 INVALID2"));
        byte[] restarted = mStateMachine.snapshot();
        reset();
        resultsOf(changes, false);
        assertThat(mStateMachine.snapshot(), is(restarted));
    }

    @Test
    void apply_viewIsAhead_dependsOnlyOnTheLog() {
        ConfigurationStateMachine other = mStateMachine;
        resultsOf("c1 ann@* desk 0 v1, c2 ann@* desk 1 v2", false);
        mStateMachine = ConfigurationStateMachine.of(IDENTITY, mView, SMALL);
        mIndex = 0;

        assertThat(
                resultsOf("c1 ann@* desk 0 v1, c2 ann@* desk 1 v2", false),
                is("ACCEPTED1 ACCEPTED2"));
        assertThat(mStateMachine.snapshot(), is(other.snapshot()));
    }

    @Test
    void restore_otherFormat_isRefused() {
        ConfigurationState state =
                ThriftBytes.read(new ConfigurationState(), mStateMachine.snapshot());
        state.setFormatVersion(9);

        assertThrows(
                IllegalStateException.class, () -> mStateMachine.restore(ThriftBytes.write(state)));
    }

    @Test
    void audit_changesAndRefusals_areChained() {
        resultsOf(
                "c1 ann@* desk 0 v1, c2 bob@* desk 0 v2, c3 bob@* desk 0 v1 bad,"
                        + " c4 eve@mules desk 1 v2, c1 ann@* desk 0 v1",
                false);

        List<AuditEntry> entries = auditOf("", "").getEntries();
        assertThat(
                entries.stream().map(e -> e.getActor() + " " + e.getStatus()).toList(),
                contains("ann ACCEPTED", "bob CONFLICT", "bob INVALID", "eve FORBIDDEN"));
        assertThat(entries.get(0).getDifference(), hasSize(1));
        assertThat(
                entries.get(1).getDifference().toString(),
                containsString("/version/name: \"v1\" -> \"v2\""));
        assertThat(AuditChain.firstFault(entries), is(Optional.empty()));
        assertThat(auditOf("desk", "bob").getEntries(), hasSize(2));
        assertThat(auditOf("fairy", "").getEntries(), hasSize(0));
    }

    @Test
    void audit_overTheLimit_dropsTheOldestAndStaysChained() {
        for (int i = 1; i <= 20; i++) {
            resultsOf("c" + i + " ann@* desk 0 v1", false);
        }

        AuditPage page = auditOf("", "");
        assertThat(page.getEntries(), hasSize(6));
        assertThat(page.getFirstSequence(), is(15L));
        assertThat(page.getLastHash(), is(page.getEntries().get(5).getHash()));
        assertThat(AuditChain.firstFault(page.getEntries()), is(Optional.empty()));
    }

    @ParameterizedTest
    @CsvSource({
        "remove, entries are missing behind 2",
        "alter, entry 3 was altered",
        "rehash, entry 4 follows another entry"
    })
    void firstFault_tamperedTrail_isDetected(String tampering, String expected) {
        for (int i = 1; i <= 5; i++) {
            resultsOf("c" + i + " ann@* desk " + (i - 1) + " v1", false);
        }
        List<AuditEntry> entries = new ArrayList<>(auditOf("", "").getEntries());
        AuditEntry third = entries.get(2);
        if (tampering.equals("remove")) {
            entries.remove(third);
        } else {
            third.setActor("bob");
        }
        if (tampering.equals("rehash")) {
            third.setHash(AuditChain.hashOf(third));
        }

        assertThat(AuditChain.firstFault(entries), is(Optional.of(expected)));
    }

    private AuditPage auditOf(String name, String actor) {
        return mStateMachine.audit(new AuditQuery(IDENTITY.sender(), 0, name, actor, 0, 100));
    }

    private void reset() {
        mView = ConfigurationView.of(IDENTITY);
        mStateMachine = ConfigurationStateMachine.of(IDENTITY, mView, SMALL);
        mIndex = 0;
    }

    private String resultsOf(String changes, boolean isRestarting) {
        List<String> results = new ArrayList<>();
        for (String change : changes.split(", ", -1)) {
            mStateMachine.apply(
                    ++mIndex,
                    ThriftBytes.write(
                            new ConfigurationProposal(
                                    1_000 * mIndex, writeOf(change.split(" ", -1)))));
            results.add(textOf(mStateMachine.resultAt(mIndex).orElseThrow()));
            if (isRestarting) {
                byte[] snapshot = mStateMachine.snapshot();
                mStateMachine = ConfigurationStateMachine.of(IDENTITY, mView, SMALL);
                mStateMachine.restore(snapshot);
            }
        }
        return String.join(" ", results);
    }

    private static String textOf(WriteResult result) {
        String text = result.getStatus().name() + result.getRevision();
        if (!result.isSetWinner()) {
            return text;
        }
        String body = result.getWinner().getBody();
        int at = body.indexOf("\"name\": \"") + 9;
        return text + ":" + body.substring(at, body.indexOf('"', at));
    }

    private static long lastRevisionIn(String results) {
        long last = 0;
        for (String result : results.split(" ", -1)) {
            if (result.startsWith("ACCEPTED")) {
                last = Math.max(last, Long.parseLong(result.substring("ACCEPTED".length())));
            }
        }
        return last;
    }

    private static ConfigurationWrite writeOf(String[] words) {
        String extra = words.length > 5 ? words[5] : "";
        String id = words[0].equals("''") ? "" : words[0];
        int at = words[1].indexOf('@');
        return new ConfigurationWrite(
                IDENTITY.sender(),
                id,
                words[1].substring(0, at),
                DocumentKind.SERVICE,
                words[2],
                Long.parseLong(words[3]),
                bodyOf(words[2], words[4], extra),
                words[1].substring(at + 1));
    }

    private static String bodyOf(String name, String version, String extra) {
        if (extra.equals("bad")) {
            return "{]";
        }
        String digest = (extra.startsWith("digest=") ? extra.substring(7) : "a").repeat(64);
        String owner = extra.startsWith("owner=") ? extra.substring(6) : "letters";
        String padding =
                extra.startsWith("pad=") ? " ".repeat(Integer.parseInt(extra.substring(4))) : "";
        String service = extra.equals("other-name") ? "other" : name;
        return """
        {"service": "%s", "owner": "%s",
        "version": {"name": "%s", "manifestDigest": "%s"},
        "routes": [{"path": "/v1"}]}%s\
        """
                .formatted(service, owner, version, digest, padding);
    }
}
