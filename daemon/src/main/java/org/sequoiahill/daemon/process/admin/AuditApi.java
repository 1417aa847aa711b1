package org.sequoiahill.daemon.process.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahill.daemon.process.config.StoreForwarder;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.protocol.gen.AuditEntry;
import org.sequoiahill.protocol.gen.AuditPage;
import org.sequoiahill.protocol.gen.AuditQuery;

/** Serves reads of the audit trail by querying a store. */
public final class AuditApi implements OperatorApi {
    private static final Pattern SEQUENCE = Pattern.compile("[0-9]{0,18}");
    private static final int PAGE_ENTRIES = 500;

    private final Function<AuditQuery, CompletableFuture<AuditPage>> mQueryAudit;
    private final Identity mIdentity;

    private AuditApi(
            Function<AuditQuery, CompletableFuture<AuditPage>> queryAudit, Identity identity) {
        mQueryAudit = queryAudit;
        mIdentity = identity;
    }

    /** Returns an API that reads the audit trail from a store. */
    public static AuditApi of(StoreForwarder stores, Identity identity) {
        return new AuditApi(stores::audit, identity);
    }

    @Override
    public boolean handle(Exchange exchange) {
        if (exchange.matchesPath("audit") && exchange.isRead()) {
            sendEntries(exchange, exchange.queryParameter("service"));
            return true;
        }
        if (exchange.matchesPath("services", "*", "history") && exchange.isRead()) {
            sendEntries(exchange, exchange.path().get(1));
            return true;
        }
        return false;
    }

    private void sendEntries(Exchange exchange, String documentName) {
        String after = exchange.queryParameter("after");
        String since = exchange.queryParameter("since");
        long sinceMillis;
        try {
            sinceMillis = since.isEmpty() ? 0 : Instant.parse(since).toEpochMilli();
        } catch (DateTimeParseException e) {
            exchange.response()
                    .error(
                            HttpStatus.BAD_REQUEST_400,
                            "since is " + since + "; it must be like 2026-01-31T08:00:00Z");
            return;
        }
        if (!SEQUENCE.matcher(after).matches()) {
            exchange.response()
                    .error(HttpStatus.BAD_REQUEST_400, "after must be a sequence number");
            return;
        }
        AuditQuery query =
                new AuditQuery(
                        mIdentity.sender(),
                        after.isEmpty() ? 0 : Long.parseLong(after),
                        documentName,
                        exchange.queryParameter("who"),
                        sinceMillis,
                        PAGE_ENTRIES);
        mQueryAudit
                .apply(query)
                .whenComplete(
                        (page, failure) -> {
                            if (failure != null) {
                                exchange.response()
                                        .error(
                                                HttpStatus.SERVICE_UNAVAILABLE_503,
                                                "no store responded");
                                return;
                            }
                            exchange.response().ok(toJson(page));
                        });
    }

    private static ObjectNode toJson(AuditPage page) {
        ObjectNode node = JsonResponse.object();
        ArrayNode entries = node.putArray("entries");
        page.getEntries().forEach(entry -> entries.add(toJson(entry)));
        return node.put("firstSequence", page.getFirstSequence())
                .put("lastSequence", page.getLastSequence())
                .put("lastHash", page.getLastHash())
                .put("hasMore", page.isHasMore());
    }

    private static ObjectNode toJson(AuditEntry entry) {
        ObjectNode node =
                JsonResponse.object()
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
