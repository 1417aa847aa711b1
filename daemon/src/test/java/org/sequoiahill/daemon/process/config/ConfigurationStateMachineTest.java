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
    private ConfigurationStateMachine mMachine =
            ConfigurationStateMachine.of(IDENTITY, mView, SMALL);
    private long mIndex;

    /**
     * A change is: id actor@team name replaced-revision version [extra]; an answer is the status
     * and the revision, with ":version" of the winner in a conflict.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "c1 ann@* desk 0 v1| ACCEPTED1",
                "c1 ann@* desk 0 v1, c2 ann@* desk 1 v2| ACCEPTED1 ACCEPTED2",
                // two operators under an equal revision: one wins, the other is shown the winner
                "c1 ann@* desk 0 v1, c2 bob@* desk 0 v2| ACCEPTED1 CONFLICT1:v1",
                "c1 ann@* desk 0 v1, c2 ann@* desk 1 v2, c3 bob@* desk 1 v3"
                        + "| ACCEPTED1 ACCEPTED2 CONFLICT2:v2",
                "c1 ann@* desk 7 v1| CONFLICT0",
                // a resend gets the first answer, whatever came between
                "c1 ann@* desk 0 v1, c1 ann@* desk 0 v1| ACCEPTED1 ACCEPTED1",
                "c1 ann@* desk 0 v1, c2 bob@* desk 1 v2, c1 ann@* desk 0 v1"
                        + "| ACCEPTED1 ACCEPTED2 ACCEPTED1",
                "c1 ann@* desk 0 v1, c2 bob@* desk 0 v2, c3 ann@* desk 1 v3, c2 bob@* desk 0 v2"
                        + "| ACCEPTED1 CONFLICT1:v1 ACCEPTED2 CONFLICT1:v1",
                "c1 ann@* desk 0 v1, c1 ann@* desk 1 v1| ACCEPTED1 ACCEPTED1",
                "c1 ann@* desk 0 v1, c1 ann@* desk 1 v2| ACCEPTED1 INVALID1",
                "c1 ann@* desk 0 v1, c1 bob@* desk 0 v1| ACCEPTED1 INVALID1",
                // over the bound of four answers the first is forgotten; its resend changes nothing
                "c1 ann@* desk 0 v1, c2 a@* desk 0 v2, c3 a@* desk 0 v2, c4 a@* desk 0 v2,"
                        + " c5 a@* desk 0 v2, c1 ann@* desk 0 v1"
                        + "| ACCEPTED1 CONFLICT1:v1 CONFLICT1:v1 CONFLICT1:v1 CONFLICT1:v1"
                        + " CONFLICT1:v1",
                // owners
                "c1 ann@letters desk 0 v1| ACCEPTED1",
                "c1 ann@mules desk 0 v1| FORBIDDEN0",
                "c1 ann@letters desk 0 v1, c2 bob@mules desk 1 v2 owner=mules"
                        + "| ACCEPTED1 FORBIDDEN1",
                // documents are checked again, a version name is bound for ever
                "c1 ann@* desk 0 v1 bad| INVALID0",
                "c1 ann@* desk 0 v1 other-name| INVALID0",
                "c1 ann@* desk 0 v1, c2 ann@* desk 1 v2, c3 ann@* desk 2 v1 digest=b"
                        + "| ACCEPTED1 ACCEPTED2 INVALID2",
                "c1 ann@* desk 0 v1, c2 ann@* desk 1 v2, c3 ann@* desk 2 v1"
                        + "| ACCEPTED1 ACCEPTED2 ACCEPTED3",
                "c1 ann@* desk 0 v1, c2 ann@* fairy 0 v1 digest=b| ACCEPTED1 ACCEPTED2",
                // bounds
                "c1 a@* d1 0 v1, c2 a@* d2 0 v1, c3 a@* d3 0 v1, c4 a@* d4 0 v1"
                        + "| ACCEPTED1 ACCEPTED2 ACCEPTED3 INVALID3",
                "c1 a@* desk 0 v1, c2 a@* desk 1 v2, c3 a@* desk 2 v3, c4 a@* desk 3 v4"
                        + "| ACCEPTED1 ACCEPTED2 ACCEPTED3 INVALID3",
                "c1 a@* desk 0 v1 pad=2000| INVALID0",
                "c1 a@* desk 0 v1 pad=1500, c2 a@* fairy 0 v1 pad=1500| ACCEPTED1 INVALID1",
                "c1 a@* desk 0 v1 pad=1500, c2 a@* desk 1 v1 pad=1600| ACCEPTED1 ACCEPTED2",
                "'' ann@* desk 0 v1| INVALID0",
            })
    void apply_changes_answersAsStated(String changes, String expected) {
        assertThat(answersTo(changes, false), is(expected));
        assertThat(mView.current().revision(), is(lastRevisionIn(expected)));
    }

    @Test
    void restore_afterEveryChange_changesNoAnswer() {
        String changes =
                "c1 ann@* desk 0 v1, c2 bob@* desk 0 v2, c1 ann@* desk 0 v1, c3 bob@* desk 1 v2,"
                        + " c2 bob@* desk 0 v2, c4 a@* desk 2 v1 digest=b";

        assertThat(
                answersTo(changes, true),
                is("ACCEPTED1 CONFLICT1:v1 ACCEPTED1 ACCEPTED2 CONFLICT1:v1 INVALID2"));
        byte[] restarted = mMachine.snapshot();
        reset();
        answersTo(changes, false);
        assertThat(mMachine.snapshot(), is(restarted));
    }

    @Test
    void apply_viewIsAhead_dependsOnTheLogOnly() {
        ConfigurationStateMachine other = mMachine;
        answersTo("c1 ann@* desk 0 v1, c2 ann@* desk 1 v2", false);
        mMachine = ConfigurationStateMachine.of(IDENTITY, mView, SMALL);
        mIndex = 0;

        assertThat(
                answersTo("c1 ann@* desk 0 v1, c2 ann@* desk 1 v2", false),
                is("ACCEPTED1 ACCEPTED2"));
        assertThat(mMachine.snapshot(), is(other.snapshot()));
    }

    @Test
    void restore_otherFormat_isRefused() {
        ConfigurationState state = ThriftBytes.read(new ConfigurationState(), mMachine.snapshot());
        state.setFormatVersion(9);

        assertThrows(IllegalStateException.class, () -> mMachine.restore(ThriftBytes.write(state)));
    }

    @Test
    void audit_changesAndRefusals_areChainedAndBounded() {
        answersTo(
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
    void audit_overTheBound_dropsTheOldestAndStaysChained() {
        for (int i = 1; i <= 20; i++) {
            answersTo("c" + i + " ann@* desk 0 v1", false);
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
    void faultIn_tamperedTrail_isShown(String how, String expected) {
        for (int i = 1; i <= 5; i++) {
            answersTo("c" + i + " ann@* desk " + (i - 1) + " v1", false);
        }
        List<AuditEntry> entries = new ArrayList<>(auditOf("", "").getEntries());
        AuditEntry third = entries.get(2);
        if (how.equals("remove")) {
            entries.remove(third);
        } else {
            third.setActor("bob");
        }
        if (how.equals("rehash")) {
            third.setHash(AuditChain.hashOf(third));
        }

        assertThat(AuditChain.firstFault(entries), is(Optional.of(expected)));
    }

    private AuditPage auditOf(String name, String actor) {
        return mMachine.audit(new AuditQuery(IDENTITY.sender(), 0, name, actor, 0, 100));
    }

    private void reset() {
        mView = ConfigurationView.of(IDENTITY);
        mMachine = ConfigurationStateMachine.of(IDENTITY, mView, SMALL);
        mIndex = 0;
    }

    private String answersTo(String changes, boolean isRestarting) {
        List<String> answers = new ArrayList<>();
        for (String change : changes.split(", ", -1)) {
            mMachine.apply(
                    ++mIndex,
                    ThriftBytes.write(
                            new ConfigurationProposal(
                                    1_000 * mIndex, writeOf(change.split(" ", -1)))));
            answers.add(textOf(mMachine.resultAt(mIndex).orElseThrow()));
            if (isRestarting) {
                byte[] snapshot = mMachine.snapshot();
                mMachine = ConfigurationStateMachine.of(IDENTITY, mView, SMALL);
                mMachine.restore(snapshot);
            }
        }
        return String.join(" ", answers);
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

    private static long lastRevisionIn(String answers) {
        long last = 0;
        for (String answer : answers.split(" ", -1)) {
            if (answer.startsWith("ACCEPTED")) {
                last = Math.max(last, Long.parseLong(answer.substring("ACCEPTED".length())));
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
