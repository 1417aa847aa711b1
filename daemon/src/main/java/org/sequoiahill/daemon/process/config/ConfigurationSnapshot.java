package org.sequoiahill.daemon.process.config;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sequoiahill.protocol.document.DataCentreDocument;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.gen.Document;
import org.sequoiahill.protocol.gen.DocumentKind;

/** All documents at one revision; immutable. */
public final class ConfigurationSnapshot {
    private static final ConfigurationSnapshot EMPTY =
            new ConfigurationSnapshot(0, Map.of(), Map.of(), Set.of());

    private final long mRevision;
    private final Map<DocumentKey, Document> mDocuments;
    private final Map<String, ServiceDocument> mServices;
    private final Set<String> mOutDataCentres;
    private final long mBytes;

    private ConfigurationSnapshot(
            long revision,
            Map<DocumentKey, Document> documents,
            Map<String, ServiceDocument> services,
            Set<String> outDataCentres) {
        mRevision = revision;
        mDocuments = documents;
        mServices = services;
        mOutDataCentres = outDataCentres;
        mBytes = documents.values().stream().mapToLong(d -> d.getBody().length()).sum();
    }

    /** Returns the snapshot before the first change. */
    public static ConfigurationSnapshot empty() {
        return EMPTY;
    }

    /** Returns a snapshot with documents added or replaced; an older document replaces nothing. */
    public ConfigurationSnapshot with(long revision, Collection<Document> documents) {
        Map<DocumentKey, Document> all = new HashMap<>(mDocuments);
        Map<String, ServiceDocument> services = new HashMap<>(mServices);
        Set<String> outDataCentres = new HashSet<>(mOutDataCentres);
        for (Document document : documents) {
            DocumentKey key = DocumentKey.of(document);
            Document held = all.get(key);
            if (held == null || held.getRevision() < document.getRevision()) {
                all.put(key, document);
                index(document, services, outDataCentres);
            }
        }
        return new ConfigurationSnapshot(
                revision, Map.copyOf(all), Map.copyOf(services), Set.copyOf(outDataCentres));
    }

    /** Returns the revision of the newest change. */
    public long revision() {
        return mRevision;
    }

    /** Returns a document as committed. */
    public Optional<Document> document(DocumentKey key) {
        return Optional.ofNullable(mDocuments.get(key));
    }

    /** Returns the documents that changed behind a revision. */
    public List<Document> documentsAfter(long revision) {
        return mDocuments.values().stream().filter(d -> d.getRevision() > revision).toList();
    }

    /** Returns the document of a service. */
    public Optional<ServiceDocument> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns all services by name. */
    public Map<String, ServiceDocument> services() {
        return mServices;
    }

    /** Returns whether operators have taken a data centre out. */
    public boolean isOut(String dataCentre) {
        return mOutDataCentres.contains(dataCentre);
    }

    /** Returns all documents in the order of their revisions. */
    List<Document> sortedDocuments() {
        return mDocuments.values().stream()
                .sorted(Comparator.comparingLong(Document::getRevision))
                .toList();
    }

    int documentCount() {
        return mDocuments.size();
    }

    /** Returns the length of all documents. */
    long bytes() {
        return mBytes;
    }

    private static void index(
            Document document, Map<String, ServiceDocument> services, Set<String> outDataCentres) {
        if (document.getKind() == DocumentKind.SERVICE) {
            ServiceDocument.parse(document.getBody())
                    .ifValid(service -> services.put(document.getName(), service));
            return;
        }
        outDataCentres.remove(document.getName());
        DataCentreDocument.parse(document.getBody())
                .ifValid(
                        dataCentre -> {
                            if (dataCentre.isOutOfService()) {
                                outDataCentres.add(dataCentre.dataCentre());
                            }
                        });
    }
}
