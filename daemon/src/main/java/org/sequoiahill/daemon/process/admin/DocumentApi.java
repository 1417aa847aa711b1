package org.sequoiahill.daemon.process.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;
import org.sequoiahill.daemon.connection.BodyReader;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.config.ConfigurationWriter;
import org.sequoiahill.daemon.process.config.DocumentKey;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.Document;
import org.sequoiahill.protocol.gen.DocumentKind;
import org.sequoiahill.protocol.gen.WriteResult;
import org.sequoiahill.protocol.gen.WriteStatus;

/** Serves reads and writes of service and data centre documents. */
public final class DocumentApi implements OperatorApi {
    private static final int MAX_DOCUMENT_BYTES = 1 << 20;
    private static final Pattern REVISION = Pattern.compile("[0-9]{1,18}");
    private static final Pattern CHANGE_ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final ConfigurationWriter mWriter;

    private DocumentApi(Identity identity, ConfigurationView view, ConfigurationWriter writer) {
        mIdentity = identity;
        mView = view;
        mWriter = writer;
    }

    /** Returns an API that reads from {@code view} and writes through {@code writer}. */
    public static DocumentApi of(
            Identity identity, ConfigurationView view, ConfigurationWriter writer) {
        return new DocumentApi(identity, view, writer);
    }

    @Override
    public boolean handle(Exchange exchange) {
        Optional<DocumentKind> kind = kindOf(exchange.path().get(0));
        if (kind.isEmpty()) {
            return false;
        }
        if (exchange.matchesPath("*") && exchange.isRead()) {
            sendList(kind.get(), exchange.response());
            return true;
        }
        if (!exchange.matchesPath("*", "*")) {
            return false;
        }
        DocumentKey key = new DocumentKey(kind.get(), exchange.path().get(1));
        if (exchange.isRead()) {
            sendDocument(key, exchange.response());
        } else if (exchange.request().getMethod().equals("PUT")) {
            readAndWrite(key, exchange);
        } else {
            exchange.response()
                    .error(
                            HttpStatus.METHOD_NOT_ALLOWED_405,
                            "a document supports only GET and PUT");
        }
        return true;
    }

    private static Optional<DocumentKind> kindOf(String segment) {
        return switch (segment) {
            case "services" -> Optional.of(DocumentKind.SERVICE);
            case "data-centres" -> Optional.of(DocumentKind.DATA_CENTRE);
            default -> Optional.empty();
        };
    }

    private void readAndWrite(DocumentKey key, Exchange exchange) {
        String changeId = exchange.request().getHeaders().get("Sequoia-Change-Id");
        String replaces = exchange.queryParameter("replaces");
        if (changeId == null
                || !CHANGE_ID.matcher(changeId).matches()
                || !REVISION.matcher(replaces).matches()
                || !ServiceDocument.NAME.matcher(key.name()).matches()) {
            exchange.response()
                    .error(
                            HttpStatus.BAD_REQUEST_400,
                            "a change needs the header Sequoia-Change-Id ("
                                    + CHANGE_ID.pattern()
                                    + "), ?replaces=REVISION and a name like "
                                    + ServiceDocument.NAME.pattern());
            return;
        }
        BodyReader.read(exchange.request(), MAX_DOCUMENT_BYTES)
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null) {
                                exchange.response()
                                        .error(
                                                HttpStatus.PAYLOAD_TOO_LARGE_413,
                                                "the document exceeds "
                                                        + MAX_DOCUMENT_BYTES
                                                        + " bytes");
                                return;
                            }
                            commit(toWrite(key, changeId, replaces, body, exchange), exchange);
                        });
    }

    private ConfigurationWrite toWrite(
            DocumentKey key, String changeId, String replaces, byte[] body, Exchange exchange) {
        return new ConfigurationWrite(
                mIdentity.sender(),
                changeId,
                exchange.operator().name(),
                key.kind(),
                key.name(),
                Long.parseLong(replaces),
                new String(body, StandardCharsets.UTF_8),
                exchange.operator().team());
    }

    /** Submits the write to the log, which also decides refusals, so that each is audited. */
    private void commit(ConfigurationWrite write, Exchange exchange) {
        mWriter.write(write)
                .whenComplete(
                        (result, failure) -> sendResult(result, failure, exchange.response()));
    }

    private static void sendResult(
            @Nullable WriteResult result, @Nullable Throwable failure, JsonResponse response) {
        if (result == null) {
            response.error(
                    HttpStatus.SERVICE_UNAVAILABLE_503,
                    "no quorum of the stores responded; resend with the same change id: "
                            + (failure == null ? "" : failure.getMessage()));
            return;
        }
        ObjectNode node = JsonResponse.object();
        node.put("status", result.getStatus().name());
        node.put("revision", result.getRevision());
        if (result.isSetWinner()) {
            node.set("winner", toJson(result.getWinner()));
        }
        if (result.isSetMessage()) {
            node.put("message", result.getMessage());
        }
        response.write(statusOf(result.getStatus()), node);
    }

    private static int statusOf(WriteStatus status) {
        return switch (status) {
            case ACCEPTED -> HttpStatus.OK_200;
            case CONFLICT -> HttpStatus.CONFLICT_409;
            case INVALID -> HttpStatus.UNPROCESSABLE_ENTITY_422;
            case FORBIDDEN -> HttpStatus.FORBIDDEN_403;
            case UNAVAILABLE -> HttpStatus.SERVICE_UNAVAILABLE_503;
        };
    }

    private void sendDocument(DocumentKey key, JsonResponse response) {
        Optional<Document> document = mView.current().document(key);
        if (document.isEmpty()) {
            response.error(HttpStatus.NOT_FOUND_404, "no such document: " + key.name());
            return;
        }
        response.ok(toJson(document.get()));
    }

    private void sendList(DocumentKind kind, JsonResponse response) {
        ArrayNode list = JsonResponse.array();
        mView.current().documentsAfter(0).stream()
                .filter(document -> document.getKind() == kind)
                .sorted(Comparator.comparing(Document::getName))
                .forEach(document -> list.add(toJson(document)));
        response.ok(list);
    }

    private static ObjectNode toJson(Document document) {
        return JsonResponse.object()
                .put("name", document.getName())
                .put("revision", document.getRevision())
                .put("document", document.getBody());
    }
}
