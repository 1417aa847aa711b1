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

/** Serves the status of endpoints, services and data centres as this process knows it. */
public final class StatusApi implements OperatorApi {
    private final DaemonSettings mSettings;
    private final ConfigurationView mView;
    private final EndpointDirectory mDirectory;
    private final DataCentreTable mDataCentres;

    private StatusApi(
            DaemonSettings settings,
            ConfigurationView view,
            EndpointDirectory directory,
            DataCentreTable dataCentres) {
        mSettings = settings;
        mView = view;
        mDirectory = directory;
        mDataCentres = dataCentres;
    }

    /**
     * Returns an API over the directory of this data centre and the summaries of the others; both
     * are filled only on an entry.
     */
    public static StatusApi of(
            DaemonSettings settings,
            ConfigurationView view,
            EndpointDirectory directory,
            DataCentreTable dataCentres) {
        return new StatusApi(settings, view, directory, dataCentres);
    }

    @Override
    public boolean handle(Exchange exchange) {
        if (!exchange.isRead()) {
            return false;
        }
        if (exchange.matchesPath("endpoints")) {
            sendEndpoints(exchange.response());
        } else if (exchange.matchesPath("data-centres")) {
            sendDataCentres(exchange.response());
        } else if (exchange.matchesPath("services", "*", "status")) {
            sendStatus(exchange.path().get(1), exchange.response());
        } else {
            return false;
        }
        return true;
    }

    private void sendStatus(String name, JsonResponse response) {
        ConfigurationSnapshot snapshot = mView.current();
        Optional<ServiceDocument> service = snapshot.service(name);
        if (service.isEmpty()) {
            response.error(HttpStatus.NOT_FOUND_404, "no such service: " + name);
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
        long upToDate = 0;
        long configuredReplicas = 0;
        for (String dataCentre : dataCentresOf(service.get())) {
            long replicas = service.get().replicas().getOrDefault(dataCentre, 0L);
            ObjectNode dataCentreNode = dataCentreStatus(dataCentre, name, digest, replicas);
            dataCentres.add(dataCentreNode);
            upToDate += Math.min(replicas, dataCentreNode.path("done").asLong());
            configuredReplicas += replicas;
        }
        response.ok(
                node.put("done", upToDate)
                        .put("stated", configuredReplicas)
                        .put("isDone", upToDate >= configuredReplicas));
    }

    private Set<String> dataCentresOf(ServiceDocument service) {
        TreeSet<String> names = new TreeSet<>(service.replicas().keySet());
        names.add(mSettings.dataCentre());
        mDataCentres.current().forEach(summary -> names.add(summary.getSender().getDataCentre()));
        return names;
    }

    private ObjectNode dataCentreStatus(
            String dataCentre, String service, String digest, long replicas) {
        Optional<Collection<ServiceSummary>> seen = summariesOf(dataCentre);
        ObjectNode node = JsonResponse.object().put("dataCentre", dataCentre);
        node.put("state", stateOf(dataCentre)).put("seen", seen.isPresent());
        long upToDate = 0;
        long serving = 0;
        long chunksHeld = 0;
        long chunksStated = 0;
        long revision = Long.MAX_VALUE;
        ArrayNode versions = JsonResponse.array();
        for (ServiceSummary summary : seen.orElse(List.of())) {
            if (!summary.getServiceName().equals(service)) {
                continue;
            }
            boolean isConfiguredVersion = isPrefix(summary.getVersionDigest(), digest);
            upToDate += isConfiguredVersion ? summary.getEndpoints() : 0;
            serving += summary.getEndpoints();
            chunksHeld += summary.getChunksHeld();
            chunksStated += summary.getChunksStated();
            revision = Math.min(revision, summary.getLowestRevision());
            versions.addObject()
                    .put("version", summary.getVersionName())
                    .put("versionDigest", summary.getVersionDigest())
                    .put("endpoints", summary.getEndpoints());
        }
        node.put("done", upToDate).put("stated", replicas).put("serving", serving);
        node.put("chunksHeld", chunksHeld).put("chunksStated", chunksStated);
        node.put("revisionInForce", revision == Long.MAX_VALUE ? 0 : revision);
        node.set("versions", versions);
        return node;
    }

    /**
     * Returns the summaries of a data centre: for this one from the directory, for another one from
     * the entry that reports most endpoints; empty if none has reported.
     */
    private Optional<Collection<ServiceSummary>> summariesOf(String dataCentre) {
        if (dataCentre.equals(mSettings.dataCentre())) {
            return Optional.of(localSummaries());
        }
        return mDataCentres.current().stream()
                .filter(summary -> summary.getSender().getDataCentre().equals(dataCentre))
                .map(DataCentreSummary::getServices)
                .max((a, b) -> Integer.compare(endpointsIn(a), endpointsIn(b)))
                .map(services -> services);
    }

    private Collection<ServiceSummary> localSummaries() {
        Map<String, ServiceSummary> byVersion = new TreeMap<>();
        for (Endpoint endpoint : mDirectory.all()) {
            Announcement announcement = endpoint.announcement();
            if (!announcement.isServing() || announcement.isLeaving()) {
                continue;
            }
            ServiceSummary summary =
                    byVersion.computeIfAbsent(
                            announcement.getServiceName() + " " + announcement.getVersionDigest(),
                            key -> new ServiceSummary());
            summary.setServiceName(announcement.getServiceName());
            summary.setVersionDigest(announcement.getVersionDigest());
            summary.setEndpoints(summary.getEndpoints() + 1);
            ServiceProgress.add(summary, announcement);
        }
        return byVersion.values();
    }

    private static int endpointsIn(Collection<ServiceSummary> services) {
        return services.stream().mapToInt(ServiceSummary::getEndpoints).sum();
    }

    private void sendDataCentres(JsonResponse response) {
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
            ObjectNode node = list.addObject().put("name", name).put("state", stateOf(name));
            Optional<Document> document =
                    snapshot.document(new DocumentKey(DocumentKind.DATA_CENTRE, name));
            node.put("revision", document.map(Document::getRevision).orElse(0L));
            Optional<Collection<ServiceSummary>> seen = summariesOf(name);
            node.put("seen", seen.isPresent());
            node.put("serving", seen.map(StatusApi::endpointsIn).orElse(0));
        }
        response.ok(list);
    }

    private String stateOf(String dataCentre) {
        return mView.current().isOutOfService(dataCentre) ? "out" : "in";
    }

    private void sendEndpoints(JsonResponse response) {
        ArrayNode list = JsonResponse.array();
        for (Endpoint endpoint : mDirectory.all()) {
            Announcement announcement = endpoint.announcement();
            list.addObject()
                    .put("vm", endpoint.vm())
                    .put("dataCentre", announcement.getSender().getDataCentre())
                    .put("service", announcement.getServiceName())
                    .put("serving", announcement.isServing() && !announcement.isLeaving())
                    .put("version", announcement.getVersionName())
                    .put("versionDigest", announcement.getVersionDigest())
                    .put("running", announcement.getRunning())
                    .put("capacity", announcement.getCapacity())
                    .put("chunksHeld", announcement.getChunksHeld())
                    .put("chunksStated", announcement.getChunksStated())
                    .put("revision", announcement.getSender().getConfigRevision());
        }
        response.ok(list);
    }

    /**
     * Returns whether {@code digest} starts with {@code prefix}; an empty prefix matches only an
     * empty digest.
     */
    private static boolean isPrefix(String prefix, String digest) {
        return digest.startsWith(prefix) && prefix.isEmpty() == digest.isEmpty();
    }
}
