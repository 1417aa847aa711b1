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

/** Prints and verifies the audit trail. */
@Parameters(commandDescription = "the audit trail: changes and refusals")
final class AuditCommand implements Command {
    private static final int MAX_PAGES = 1_000;

    @Parameter(
            names = "--service",
            description = "only audit entries about this service or data centre")
    private String mService = "";

    @Parameter(
            names = "--who",
            description = "only audit entries of changes that this operator requested")
    private String mWho = "";

    @Parameter(
            names = "--since",
            description = "only audit entries since a time like 2026-01-31T08:00:00Z")
    private String mSince = "";

    @Parameter(
            names = "--verify",
            description =
                    "check that no retained audit entry is missing or altered; ignores the other"
                            + " options of this command")
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

    /** Reads the pages at a path, at most {@code MAX_PAGES}, and prints their entries. */
    static ExitCode printAll(CommandContext context, String path) throws Exception {
        AuditTrail trail = readAllPages(context, path);
        if (!trail.last().isOk()) {
            return context.print(trail.last());
        }
        context.printBody(
                trail.entries(),
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
        AuditTrail trail = readAllPages(context, "audit");
        if (!trail.last().isOk()) {
            return context.print(trail.last());
        }
        Optional<String> fault = verificationFault(trail);
        if (fault.isPresent()) {
            context.errors().println("the audit trail is not intact: " + fault.get());
            return ExitCode.REFUSED;
        }
        JsonNode last = trail.last().body();
        context.out()
                .printf(
                        "%d entries are intact, from %d to %d; hash %s%n",
                        trail.entries().size(),
                        last.path("firstSequence").asLong(),
                        last.path("lastSequence").asLong(),
                        last.path("lastHash").asText());
        return ExitCode.OK;
    }

    /** Returns a fault in a trail that was read without filters, or empty if there is none. */
    static Optional<String> verificationFault(AuditTrail trail) {
        List<AuditEntry> entries = new ArrayList<>();
        try {
            trail.entries().forEach(node -> entries.add(toEntry(node)));
        } catch (IllegalArgumentException | DateTimeException e) {
            return Optional.of("an entry can't be read: " + e.getMessage());
        }
        JsonNode last = trail.last().body();
        long first = last.path("firstSequence").asLong();
        if (!entries.isEmpty() && entries.get(0).getSequence() != first) {
            return Optional.of("the trail does not start at entry " + first);
        }
        String hash =
                entries.isEmpty()
                        ? last.path("lastHash").asText()
                        : entries.get(entries.size() - 1).getHash();
        if (!hash.equals(last.path("lastHash").asText())) {
            return Optional.of(
                    "entries are missing at the end, or the hash of the last entry was altered");
        }
        return AuditChain.firstFault(entries);
    }

    /**
     * Entries of the audit trail as read from a server.
     *
     * @param entries all entries that were read, in order
     * @param last the response to the last request; its body also has the first and last sequence
     *     numbers, and the last hash, of the trail that the server retains
     */
    record AuditTrail(ArrayNode entries, OperatorClient.Response last) {}

    private static AuditTrail readAllPages(CommandContext context, String path)
            throws IOException, InterruptedException {
        ArrayNode entries = JsonNodeFactory.instance.arrayNode();
        String separator = path.contains("?") ? "&" : "?";
        long after = 0;
        long lastKnown = 0;
        OperatorClient.Response response = context.client().read(path);
        for (int page = 0; page < MAX_PAGES; page++) {
            long newest = response.body().path("lastSequence").asLong();
            if (response.isOk() && newest < lastKnown) {
                // Another server, whose copy of the trail is older, may have responded.
                throw new IOException(
                        "the trail ends at "
                                + newest
                                + ", but an earlier page reported "
                                + lastKnown);
            }
            lastKnown = newest;
            for (JsonNode entry : response.body().path("entries")) {
                entries.add(entry);
                after = entry.path("sequence").asLong();
            }
            if (!response.isOk() || !response.body().path("hasMore").asBoolean()) {
                break;
            }
            response = context.client().read(path + separator + "after=" + after);
        }
        return new AuditTrail(entries, response);
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
