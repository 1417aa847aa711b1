package org.sequoiahill.daemon.process.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.eclipse.jetty.http.HttpStatus;
import org.sequoiahill.daemon.process.config.ConfigurationSnapshot;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.config.DocumentKey;
import org.sequoiahill.daemon.process.directory.DataCentreTable;
import org.sequoiahill.daemon.process.directory.Endpoint;
import org.sequoiahill.daemon.process.directory.EndpointDirectory;
import org.sequoiahill.daemon.process.directory.ServiceProgress;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.gen.Announcement;
import org.sequoiahill.protocol.gen.DataCentreSummary;
import org.sequoiahill.protocol.gen.Document;
import org.sequoiahill.protocol.gen.DocumentKind;
import org.sequoiahill.protocol.gen.ServiceSummary;

/** What this process sees of endpoints, services and data centres. */
public final class StatusApi implements OperatorApi {
    private final DaemonSettings mSettings;
    private final ConfigurationView mView;
    private final EndpointDirectory mDirectory;
    private final DataCentreTable mTable;

    private StatusApi(
            DaemonSettings settings,
            ConfigurationView view,
            EndpointDirectory directory,
            DataCentreTable table) {
        mSettings = settings;
        mView = view;
        mDirectory = directory;
        mTable = table;
    }

    /** Returns calls that read the directory of this data centre and the summaries of others. */
    public static StatusApi of(
            DaemonSettings settings,
            ConfigurationView view,
            EndpointDirectory directory,
            DataCentreTable table) {
        return new StatusApi(settings, view, directory, table);
    }

    @Override
    public boolean handle(Exchange exchange) {
        if (!exchange.isRead()) {
            return false;
        }
        if (exchange.matchesPath("endpoints")) {
            answerEndpoints(exchange.response());
        } else if (exchange.matchesPath("data-centres")) {
            answerDataCentres(exchange.response());
        } else if (exchange.matchesPath("services", "*", "status")) {
            answerStatus(exchange.path().get(1), exchange.response());
        } else {
            return false;
        }
        return true;
    }

    private void answerStatus(String name, JsonResponse answer) {
        ConfigurationSnapshot snapshot = mView.current();
        Optional<ServiceDocument> service = snapshot.service(name);
        if (service.isEmpty()) {
            answer.error(HttpStatus.NOT_FOUND_404, "no such service: " + name);
            return;
        }
        ObjectNode node = JsonResponse.object().put("service", name);
        node.put("configurationRevision", snapshot.revision());
        snapshot.document(new DocumentKey(DocumentKind.SERVICE, name))
                .ifPresent(document -> node.put("revision", document.getRevision()));
        String digest = service.get().version().map(v -> v.manifestDigest()).orElse("");
        node.put("version", service.get().version().map(v -> v.name()).orElse(""));
        node.put("versionDigest", digest);
        ArrayNode dataCentres = node.putArray("dataCentres");
        long done = 0;
        long stated = 0;
        for (String dataCentre : dataCentresOf(service.get())) {
            long wanted = service.get().replicas().getOrDefault(dataCentre, 0L);
            ObjectNode line = lineOf(dataCentre, name, digest, wanted);
            dataCentres.add(line);
            done += Math.min(wanted, line.path("done").asLong());
            stated += wanted;
        }
        answer.ok(node.put("done", done).put("stated", stated).put("isDone", done >= stated));
    }

    private Set<String> dataCentresOf(ServiceDocument service) {
        TreeSet<String> names = new TreeSet<>(service.replicas().keySet());
        names.add(mSettings.dataCentre());
        mTable.current().forEach(summary -> names.add(summary.getSender().getDataCentre()));
        return names;
    }

    private ObjectNode lineOf(String dataCentre, String service, String digest, long wanted) {
        Optional<Collection<ServiceSummary>> seen = summariesOf(dataCentre);
        ObjectNode line = JsonResponse.object().put("dataCentre", dataCentre);
        line.put("state", stateOf(dataCentre)).put("seen", seen.isPresent());
        long done = 0;
        long serving = 0;
        long held = 0;
        long needed = 0;
        long revision = Long.MAX_VALUE;
        ArrayNode versions = JsonResponse.array();
        for (ServiceSummary summary : seen.orElse(List.of())) {
            if (!summary.getServiceName().equals(service)) {
                continue;
            }
            boolean isStated = isPrefix(summary.getVersionDigest(), digest);
            done += isStated ? summary.getEndpoints() : 0;
            serving += summary.getEndpoints();
            held += summary.getChunksHeld();
            needed += summary.getChunksStated();
            revision = Math.min(revision, summary.getLowestRevision());
            versions.addObject()
                    .put("version", summary.getVersionName())
                    .put("versionDigest", summary.getVersionDigest())
                    .put("endpoints", summary.getEndpoints());
        }
        line.put("done", done).put("stated", wanted).put("serving", serving);
        line.put("chunksHeld", held).put("chunksStated", needed);
        line.put("revisionInForce", revision == Long.MAX_VALUE ? 0 : revision);
        line.set("versions", versions);
        return line;
    }

    /**
     * Returns the summaries of a data centre by the entry that sees most; empty if none is seen.
     */
    private Optional<Collection<ServiceSummary>> summariesOf(String dataCentre) {
        if (dataCentre.equals(mSettings.dataCentre())) {
            return Optional.of(summariesHere());
        }
        return mTable.current().stream()
                .filter(summary -> summary.getSender().getDataCentre().equals(dataCentre))
                .map(DataCentreSummary::getServices)
                .max((a, b) -> Integer.compare(endpointsIn(a), endpointsIn(b)))
                .map(services -> services);
    }

    private Collection<ServiceSummary> summariesHere() {
        Map<String, ServiceSummary> byVersion = new TreeMap<>();
        for (Endpoint endpoint : mDirectory.all()) {
            Announcement held = endpoint.announcement();
            if (!held.isServing() || held.isLeaving()) {
                continue;
            }
            ServiceSummary summary =
                    byVersion.computeIfAbsent(
                            held.getServiceName() + " " + held.getVersionDigest(),
                            key -> new ServiceSummary());
            summary.setServiceName(held.getServiceName());
            summary.setVersionDigest(held.getVersionDigest());
            summary.setEndpoints(summary.getEndpoints() + 1);
            ServiceProgress.add(summary, held);
        }
        return byVersion.values();
    }

    private static int endpointsIn(Collection<ServiceSummary> services) {
        return services.stream().mapToInt(ServiceSummary::getEndpoints).sum();
    }

    private void answerDataCentres(JsonResponse answer) {
        TreeSet<String> names = new TreeSet<>();
        names.add(mSettings.dataCentre());
        mSettings.entries().stream().map(PeerVm::dataCentre).forEach(names::add);
        ConfigurationSnapshot snapshot = mView.current();
        snapshot.documentsAfter(0).stream()
                .filter(document -> document.getKind() == DocumentKind.DATA_CENTRE)
                .map(Document::getName)
                .forEach(names::add);
        ArrayNode list = JsonResponse.array();
        for (String name : names) {
            ObjectNode line = list.addObject().put("name", name).put("state", stateOf(name));
            Optional<Document> document =
                    snapshot.document(new DocumentKey(DocumentKind.DATA_CENTRE, name));
            line.put("revision", document.map(Document::getRevision).orElse(0L));
            Optional<Collection<ServiceSummary>> seen = summariesOf(name);
            line.put("seen", seen.isPresent());
            line.put("serving", seen.map(StatusApi::endpointsIn).orElse(0));
        }
        answer.ok(list);
    }

    private String stateOf(String dataCentre) {
        return mView.current().isOut(dataCentre) ? "out" : "in";
    }

    private void answerEndpoints(JsonResponse answer) {
        ArrayNode list = JsonResponse.array();
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
        answer.ok(list);
    }

    /** Returns whether a digest begins as a summary says; the summary's may be cut short. */
    private static boolean isPrefix(String prefix, String digest) {
        return digest.startsWith(prefix) && prefix.isEmpty() == digest.isEmpty();
    }
}
