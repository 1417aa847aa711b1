package org.sequoiahill.daemon.process.admin;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.sequoiahill.daemon.connection.BodyReader;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.config.ConfigurationWriter;
import org.sequoiahill.daemon.process.config.DocumentKey;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.directory.Endpoint;
import org.sequoiahill.daemon.process.directory.EndpointDirectory;
import org.sequoiahill.daemon.process.settings.DaemonSettings.Operator;
import org.sequoiahill.protocol.document.DataCentreDocument;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.ConfigurationWrite;
import org.sequoiahill.protocol.gen.Document;
import org.sequoiahill.protocol.gen.DocumentKind;
import org.sequoiahill.protocol.gen.WriteResult;
import org.sequoiahill.protocol.gen.WriteStatus;
import org.sequoiahill.protocol.json.Checked;
import org.sequoiahill.protocol.weights.Digests;

/** Serves operators' calls: reads and changes of documents, and what endpoints there are. */
public final class OperatorsHandler extends Handler.Abstract {
    private static final String PREFIX = "/operators/";
    private static final String BEARER = "Bearer ";
    private static final String ALL_TEAMS = "*";
    private static final int MAX_DOCUMENT_BYTES = 1 << 20;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final List<Operator> mOperators;
    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final ConfigurationWriter mWriter;
    private final EndpointDirectory mDirectory;

    private OperatorsHandler(
            List<Operator> operators,
            Identity identity,
            ConfigurationView view,
            ConfigurationWriter writer,
            EndpointDirectory directory) {
        mOperators = operators;
        mIdentity = identity;
        mView = view;
        mWriter = writer;
        mDirectory = directory;
    }

    /** Returns a handler that gives changes to {@code writer}. */
    public static OperatorsHandler of(
            List<Operator> operators,
            Identity identity,
            ConfigurationView view,
            ConfigurationWriter writer,
            EndpointDirectory directory) {
        return new OperatorsHandler(operators, identity, view, writer, directory);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (!path.startsWith(PREFIX)) {
            return false;
        }
        Optional<Operator> operator = operatorOf(request);
        if (operator.isEmpty()) {
            writeError(response, callback, 401, "the operator's bearer token is not known");
            return true;
        }
        String[] parts = path.substring(PREFIX.length()).split("/", -1);
        Optional<DocumentKind> kind = kindOf(parts[0]);
        if (parts.length == 1 && parts[0].equals("endpoints")) {
            writeEndpoints(response, callback);
        } else if (kind.isPresent() && parts.length == 1) {
            writeList(kind.get(), response, callback);
        } else if (kind.isPresent() && parts.length == 2) {
            DocumentKey key = new DocumentKey(kind.get(), parts[1]);
            if (request.getMethod().equals("PUT")) {
                readAndWrite(operator.get(), key, request, response, callback);
            } else {
                writeDocument(key, response, callback);
            }
        } else {
            writeError(response, callback, 404, "no such operators' call: " + path);
        }
        return true;
    }

    private Optional<Operator> operatorOf(Request request) {
        String authorization = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        String digest = Digests.of(authorization.substring(BEARER.length()));
        return mOperators.stream().filter(o -> o.tokenDigest().equals(digest)).findFirst();
    }

    private static Optional<DocumentKind> kindOf(String segment) {
        return switch (segment) {
            case "services" -> Optional.of(DocumentKind.SERVICE);
            case "data-centres" -> Optional.of(DocumentKind.DATA_CENTRE);
            default -> Optional.empty();
        };
    }

    private void readAndWrite(
            Operator operator,
            DocumentKey key,
            Request request,
            Response response,
            Callback callback) {
        Fields query = Request.extractQueryParameters(request);
        String changeId = request.getHeaders().get("Sequoia-Change-Id");
        String replaces = query.getValue("replaces");
        if (changeId == null || replaces == null || !replaces.matches("[0-9]{1,18}")) {
            writeError(
                    response,
                    callback,
                    400,
                    "a change needs the header Sequoia-Change-Id and ?replaces=REVISION");
            return;
        }
        BodyReader.read(request, MAX_DOCUMENT_BYTES)
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null) {
                                writeError(response, callback, 413, "the document is too large");
                                return;
                            }
                            ConfigurationWrite write =
                                    new ConfigurationWrite(
                                            mIdentity.sender(),
                                            changeId,
                                            operator.name(),
                                            key.kind(),
                                            key.name(),
                                            Long.parseLong(replaces),
                                            new String(body, StandardCharsets.UTF_8),
                                            operator.team());
                            checkAndCommit(operator, write, response, callback);
                        });
    }

    private void checkAndCommit(
            Operator operator, ConfigurationWrite write, Response response, Callback callback) {
        Optional<String> fault = faultOf(write);
        if (fault.isPresent()) {
            writeError(response, callback, 422, fault.get());
            return;
        }
        if (!mayChange(operator, write)) {
            writeError(response, callback, 403, "the document belongs to another team");
            return;
        }
        mWriter.write(write)
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                writeError(
                                        response,
                                        callback,
                                        503,
                                        String.valueOf(failure.getMessage()));
                            } else {
                                writeResult(result, response, callback);
                            }
                        });
    }

    private static Optional<String> faultOf(ConfigurationWrite write) {
        if (write.getKind() == DocumentKind.SERVICE) {
            Checked<ServiceDocument> checked = ServiceDocument.parse(write.getBody());
            return faultOf(
                    checked, checked.value() == null ? "" : checked.value().service(), write);
        }
        Checked<DataCentreDocument> checked = DataCentreDocument.parse(write.getBody());
        return faultOf(checked, checked.value() == null ? "" : checked.value().dataCentre(), write);
    }

    private static Optional<String> faultOf(
            Checked<?> checked, String name, ConfigurationWrite write) {
        if (!checked.isValid()) {
            return Optional.of(checked.describeFaults());
        }
        if (!name.equals(write.getName())) {
            return Optional.of("the document names " + name + ", the path " + write.getName());
        }
        return Optional.empty();
    }

    private boolean mayChange(Operator operator, ConfigurationWrite write) {
        if (operator.team().equals(ALL_TEAMS)) {
            return true;
        }
        if (write.getKind() != DocumentKind.SERVICE) {
            return false;
        }
        String newOwner = ServiceDocument.parse(write.getBody()).orElseThrow().owner();
        Optional<ServiceDocument> held = mView.current().service(write.getName());
        return operator.team().equals(newOwner)
                && held.map(ServiceDocument::owner).filter(o -> !o.equals(newOwner)).isEmpty();
    }

    private void writeResult(WriteResult result, Response response, Callback callback) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("status", result.getStatus().name());
        node.put("revision", result.getRevision());
        if (result.isSetWinner()) {
            node.set("winner", toJson(result.getWinner()));
        }
        if (result.isSetMessage()) {
            node.put("message", result.getMessage());
        }
        write(response, callback, statusOf(result.getStatus()), node.toString());
    }

    private static int statusOf(WriteStatus status) {
        return switch (status) {
            case ACCEPTED -> 200;
            case CONFLICT -> 409;
            case INVALID -> 422;
            case FORBIDDEN -> 403;
            case UNAVAILABLE -> 503;
        };
    }

    private void writeDocument(DocumentKey key, Response response, Callback callback) {
        Optional<Document> document = mView.current().document(key);
        if (document.isEmpty()) {
            writeError(response, callback, 404, "no such document: " + key.name());
            return;
        }
        write(response, callback, 200, toJson(document.get()).toString());
    }

    private void writeList(DocumentKind kind, Response response, Callback callback) {
        ArrayNode list = MAPPER.createArrayNode();
        for (Document document : mView.current().documentsAfter(0)) {
            if (document.getKind() == kind) {
                list.add(toJson(document));
            }
        }
        write(response, callback, 200, list.toString());
    }

    private void writeEndpoints(Response response, Callback callback) {
        ArrayNode list = MAPPER.createArrayNode();
        for (Endpoint endpoint : mDirectory.all()) {
            Announcement held = endpoint.announcement();
            list.addObject()
                    .put("vm", endpoint.vm())
                    .put("dataCentre", held.getSender().getDataCentre())
                    .put("service", held.getServiceName())
                    .put("serving", held.isServing() && !held.isLeaving())
                    .put("version", held.getVersionName())
                    .put("versionDigest", held.getVersionDigest())
                    .put("running", held.getRunning())
                    .put("capacity", held.getCapacity())
                    .put("chunksHeld", held.getChunksHeld())
                    .put("chunksStated", held.getChunksStated())
                    .put("revision", held.getSender().getConfigRevision());
        }
        write(response, callback, 200, list.toString());
    }

    private static ObjectNode toJson(Document document) {
        return MAPPER.createObjectNode()
                .put("name", document.getName())
                .put("revision", document.getRevision())
                .put("document", document.getBody());
    }

    private static void writeError(
            Response response, Callback callback, int status, String message) {
        ObjectNode node = MAPPER.createObjectNode().put("error", message);
        write(response, callback, status, node.toString());
    }

    private static void write(Response response, Callback callback, int status, String json) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(json.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
