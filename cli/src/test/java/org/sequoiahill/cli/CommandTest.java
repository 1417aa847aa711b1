package org.sequoiahill.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sequoiahill.protocol.audit.AuditChain;
import org.sequoiahill.protocol.gen.AuditEntry;
import org.sequoiahill.protocol.gen.DocumentKind;
import org.sequoiahill.protocol.gen.WriteStatus;

/** Tests of parsing command lines, exit codes, tables and verification of the audit trail. */
class CommandTest {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    @ParameterizedTest
    @CsvSource({
        "200, OK",
        "400, REFUSED",
        "401, REFUSED",
        "403, REFUSED",
        "404, REFUSED",
        "409, CONFLICT",
        "413, REFUSED",
        "422, REFUSED",
        "500, FAILED",
        "503, UNAVAILABLE",
    })
    void ofHttp_status_returnsItsExitCode(int status, ExitCode expected) {
        assertThat(ExitCode.ofHttp(status), is(expected));
    }

    /** No server listens at the address, so a valid command line ends as UNAVAILABLE. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "--server 127.0.0.1:1 --output table service list|UNAVAILABLE",
                "service list --server 127.0.0.1:1 --output table|UNAVAILABLE",
                "audit --server 127.0.0.1:1 --output json|UNAVAILABLE",
                "store members --server 127.0.0.1:1|UNAVAILABLE",
                "service list --server 127.0.0.1:1 --output xml|USAGE",
                "service wash --server 127.0.0.1:1|USAGE",
                "service get --server 127.0.0.1:1|USAGE",
                "service list --server 127.0.0.1:1 --bogus|USAGE",
                "laundry|USAGE",
                "--help|OK",
            })
    void run_commandLine_isValidOrRefused(String line, ExitCode expected) {
        String[] words = line.split(" ", -1);

        assertThat(new SequoiaCli().run(words), is(expected));
    }

    @Test
    void print_rows_alignsColumns() throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        TableWriter.print(
                new PrintStream(bytes, true, StandardCharsets.UTF_8),
                MAPPER.readTree("[{\"name\": \"desk\", \"n\": 1}, {\"name\": \"fairy-writer\"}]"),
                List.of("name", "n"));

        assertThat(
                bytes.toString(StandardCharsets.UTF_8).lines().toList(),
                is(List.of("name          n", "desk          1", "fairy-writer")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "none|",
                "first|the trail does not start at entry 1",
                "middle|entries are missing behind 1",
                "last|entries are missing at the end, or the hash of the last entry was altered",
                "alter|entry 2 was altered",
                "garble|an entry can't be read",
            })
    void verificationFault_damagedTrail_describesTheDamage(String damage, String expected) {
        ArrayNode entries = MAPPER.createArrayNode();
        String previous = AuditChain.FIRST_HASH;
        for (int i = 1; i <= 3; i++) {
            AuditEntry entry =
                    new AuditEntry(
                            i,
                            1_000L * i,
                            "ann",
                            "c" + i,
                            DocumentKind.SERVICE,
                            "desk",
                            i - 1,
                            i,
                            WriteStatus.ACCEPTED,
                            List.of("/x: 1 -> 2"),
                            "",
                            previous,
                            "");
            entry.setHash(AuditChain.hashOf(entry));
            previous = entry.getHash();
            entries.add(jsonOf(entry));
        }
        switch (damage) {
            case "first" -> entries.remove(0);
            case "middle" -> entries.remove(1);
            case "last" -> entries.remove(2);
            case "alter" -> ((ObjectNode) entries.get(1)).put("who", "bob");
            case "garble" -> ((ObjectNode) entries.get(1)).put("kind", "x");
            default -> {}
        }
        ObjectNode last =
                MAPPER.createObjectNode().put("firstSequence", 1).put("lastHash", previous);

        Optional<String> fault =
                AuditCommand.verificationFault(
                        new AuditCommand.AuditTrail(
                                entries, new OperatorClient.Response(200, last)));

        assertThat(fault.isPresent(), is(expected != null));
        assertThat(fault.orElse(""), containsString(expected == null ? "" : expected));
    }

    private static ObjectNode jsonOf(AuditEntry entry) {
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("sequence", entry.getSequence())
                        .put("when", Instant.ofEpochMilli(entry.getWhenMillis()).toString())
                        .put("who", entry.getActor())
                        .put("changeId", entry.getChangeId())
                        .put("kind", entry.getKind().name())
                        .put("name", entry.getName())
                        .put("fromRevision", entry.getFromRevision())
                        .put("toRevision", entry.getToRevision())
                        .put("outcome", entry.getStatus().name())
                        .put("message", entry.getMessage())
                        .put("previousHash", entry.getPreviousHash())
                        .put("hash", entry.getHash());
        ArrayNode difference = node.putArray("difference");
        entry.getDifference().forEach(difference::add);
        return node;
    }
}
