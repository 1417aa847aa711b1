package org.sequoiahill.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiahill.protocol.audit.AuditChain;
import org.sequoiahill.protocol.gen.AuditEntry;
import org.sequoiahill.protocol.gen.DocumentKind;
import org.sequoiahill.protocol.gen.WriteStatus;

/** Reads and checks the audit trail. */
@Parameters(commandDescription = "the audit trail: changes and refusals")
final class AuditCommand implements Command {
    private static final int MAX_PAGES = 1_000;

    @Parameter(names = "--service", description = "entries of one service or data centre only")
    private String mService = "";

    @Parameter(names = "--who", description = "entries of one operator only")
    private String mWho = "";

    @Parameter(names = "--since", description = "entries since a time like 2026-01-31T08:00:00Z")
    private String mSince = "";

    @Parameter(names = "--verify", description = "check that no kept entry is missing or altered")
    private boolean mIsVerifying;

    @Override
    public ExitCode run(CommandContext context) throws Exception {
        if (mIsVerifying) {
            return verify(context);
        }
        return printAll(
                context,
                "audit?service="
                        + encode(mService)
                        + "&who="
                        + encode(mWho)
                        + "&since="
                        + encode(mSince));
    }

    /** Prints all entries that a path gives, page by page. */
    static ExitCode printAll(CommandContext context, String path) throws Exception {
        AuditTrail read = readAll(context, path);
        if (!read.last().isOk()) {
            return context.print(read.last());
        }
        context.printBody(
                read.entries(),
                "sequence",
                "when",
                "who",
                "outcome",
                "name",
                "fromRevision",
                "toRevision",
                "difference",
                "message");
        return ExitCode.OK;
    }

    private static ExitCode verify(CommandContext context) throws Exception {
        AuditTrail read = readAll(context, "audit");
        if (!read.last().isOk()) {
            return context.print(read.last());
        }
        Optional<String> fault = verificationFault(read);
        if (fault.isPresent()) {
            context.errors().println("the audit trail is not whole: " + fault.get());
            return ExitCode.REFUSED;
        }
        JsonNode last = read.last().body();
        context.out()
                .printf(
                        "%d entries are whole, from %d to %d; hash %s%n",
                        read.entries().size(),
                        last.path("firstSequence").asLong(),
                        last.path("lastSequence").asLong(),
                        last.path("lastHash").asText());
        return ExitCode.OK;
    }

    /** Returns what is wrong with a whole trail as it was read. */
    static Optional<String> verificationFault(AuditTrail read) {
        List<AuditEntry> entries = new ArrayList<>();
        try {
            read.entries().forEach(node -> entries.add(toEntry(node)));
        } catch (IllegalArgumentException | DateTimeException e) {
            return Optional.of("an entry can't be read: " + e.getMessage());
        }
        JsonNode last = read.last().body();
        long first = last.path("firstSequence").asLong();
        if (!entries.isEmpty() && entries.get(0).getSequence() != first) {
            return Optional.of("the trail must start at entry " + first);
        }
        String hash =
                entries.isEmpty()
                        ? last.path("lastHash").asText()
                        : entries.get(entries.size() - 1).getHash();
        if (!hash.equals(last.path("lastHash").asText())) {
            return Optional.of("entries are missing at the end");
        }
        return AuditChain.firstFault(entries);
    }

    /**
     * What was read of the trail.
     *
     * @param entries all entries, in order
     * @param last the last answer
     */
    record AuditTrail(ArrayNode entries, OperatorClient.Response last) {}

    private static AuditTrail readAll(CommandContext context, String path)
            throws IOException, InterruptedException {
        ArrayNode entries = JsonNodeFactory.instance.arrayNode();
        String separator = path.contains("?") ? "&" : "?";
        long after = 0;
        long known = 0;
        OperatorClient.Response answer = context.client().read(path);
        for (int page = 0; page < MAX_PAGES; page++) {
            long newest = answer.body().path("lastSequence").asLong();
            if (answer.isOk() && newest < known) {
                // Another server may have answered, whose trail ends before that of the first.
                throw new IOException("the trail ends at " + newest + ", but went on to " + known);
            }
            known = newest;
            for (JsonNode entry : answer.body().path("entries")) {
                entries.add(entry);
                after = entry.path("sequence").asLong();
            }
            if (!answer.isOk() || !answer.body().path("hasMore").asBoolean()) {
                break;
            }
            answer = context.client().read(path + separator + "after=" + after);
        }
        return new AuditTrail(entries, answer);
    }

    private static AuditEntry toEntry(JsonNode node) {
        List<String> difference = new ArrayList<>();
        node.path("difference").forEach(line -> difference.add(line.asText()));
        return new AuditEntry(
                node.path("sequence").asLong(),
                Instant.parse(node.path("when").asText()).toEpochMilli(),
                node.path("who").asText(),
                node.path("changeId").asText(),
                DocumentKind.valueOf(node.path("kind").asText()),
                node.path("name").asText(),
                node.path("fromRevision").asLong(),
                node.path("toRevision").asLong(),
                WriteStatus.valueOf(node.path("outcome").asText()),
                difference,
                node.path("message").asText(),
                node.path("previousHash").asText(),
                node.path("hash").asText());
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
