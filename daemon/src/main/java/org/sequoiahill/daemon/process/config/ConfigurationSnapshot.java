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

/** Immutable snapshot of all documents at a revision. */
public final class ConfigurationSnapshot {
    private static final ConfigurationSnapshot EMPTY =
            new ConfigurationSnapshot(0, Map.of(), Map.of(), Set.of());

    private final long mRevision;
    private final Map<DocumentKey, Document> mDocuments;
    private final Map<String, ServiceDocument> mServices;
    private final Set<String> mOutOfServiceDataCentres;
    private final long mCharacters;

    private ConfigurationSnapshot(
            long revision,
            Map<DocumentKey, Document> documents,
            Map<String, ServiceDocument> services,
            Set<String> outOfService) {
        mRevision = revision;
        mDocuments = documents;
        mServices = services;
        mOutOfServiceDataCentres = outOfService;
        mCharacters = documents.values().stream().mapToLong(d -> d.getBody().length()).sum();
    }

    /** Returns the snapshot without documents, at revision 0. */
    public static ConfigurationSnapshot empty() {
        return EMPTY;
    }

    /** Returns a snapshot with documents added or replaced, except by older ones. */
    public ConfigurationSnapshot with(long revision, Collection<Document> documents) {
        Map<DocumentKey, Document> all = new HashMap<>(mDocuments);
        Map<String, ServiceDocument> services = new HashMap<>(mServices);
        Set<String> outOfService = new HashSet<>(mOutOfServiceDataCentres);
        for (Document document : documents) {
            DocumentKey key = DocumentKey.of(document);
            Document existing = all.get(key);
            if (existing == null || existing.getRevision() < document.getRevision()) {
                all.put(key, document);
                index(document, services, outOfService);
            }
        }
        return new ConfigurationSnapshot(
                revision, Map.copyOf(all), Map.copyOf(services), Set.copyOf(outOfService));
    }

    /** Returns the revision of the latest change. */
    public long revision() {
        return mRevision;
    }

    /** Returns a document as committed. */
    public Optional<Document> document(DocumentKey key) {
        return Optional.ofNullable(mDocuments.get(key));
    }

    /** Returns the documents that changed after a revision. */
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

    /** Returns whether operators have taken a data centre out of service. */
    public boolean isOutOfService(String dataCentre) {
        return mOutOfServiceDataCentres.contains(dataCentre);
    }

    /** Returns all documents in order of their revisions. */
    List<Document> sortedDocuments() {
        return mDocuments.values().stream()
                .sorted(Comparator.comparingLong(Document::getRevision))
                .toList();
    }

    int documentCount() {
        return mDocuments.size();
    }

    /** Returns the total length of all documents, in characters. */
    long characters() {
        return mCharacters;
    }

    private static void index(
            Document document, Map<String, ServiceDocument> services, Set<String> outOfService) {
        if (document.getKind() == DocumentKind.SERVICE) {
            ServiceDocument.parse(document.getBody())
                    .ifValid(service -> services.put(document.getName(), service));
            return;
        }
        outOfService.remove(document.getName());
        DataCentreDocument.parse(document.getBody())
                .ifValid(
                        dataCentre -> {
                            if (dataCentre.isOutOfService()) {
                                outOfService.add(dataCentre.dataCentre());
                            }
                        });
    }
}
