package org.sequoiahill.daemon.process.config;

import java.util.Collection;
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
    private static final ConfigurationSnapshot EMPTY = new ConfigurationSnapshot(0, Map.of());

    private final long mRevision;
    private final Map<DocumentKey, Document> mDocuments;
    private final Map<String, ServiceDocument> mServices = new HashMap<>();
    private final Set<String> mOutDataCentres = new HashSet<>();

    private ConfigurationSnapshot(long revision, Map<DocumentKey, Document> documents) {
        mRevision = revision;
        mDocuments = documents;
        documents.values().forEach(this::index);
    }

    /** Returns the snapshot before the first change. */
    public static ConfigurationSnapshot empty() {
        return EMPTY;
    }

    /** Returns a snapshot with documents added or replaced. */
    public ConfigurationSnapshot with(long revision, Collection<Document> documents) {
        Map<DocumentKey, Document> all = new HashMap<>(mDocuments);
        documents.forEach(document -> all.put(DocumentKey.of(document), document));
        return new ConfigurationSnapshot(revision, Map.copyOf(all));
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
        return Map.copyOf(mServices);
    }

    /** Returns whether operators have taken a data centre out. */
    public boolean isOut(String dataCentre) {
        return mOutDataCentres.contains(dataCentre);
    }

    private void index(Document document) {
        if (document.getKind() == DocumentKind.SERVICE) {
            ServiceDocument.parse(document.getBody())
                    .ifValid(service -> mServices.put(document.getName(), service));
            return;
        }
        DataCentreDocument.parse(document.getBody())
                .ifValid(
                        dataCentre -> {
                            if (dataCentre.isOut()) {
                                mOutDataCentres.add(dataCentre.dataCentre());
                            }
                        });
    }
}
