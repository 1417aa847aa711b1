package org.sequoiahill.daemon.process.config;

import org.sequoiahill.protocol.gen.Document;
import org.sequoiahill.protocol.gen.DocumentKind;

/**
 * Identifies a document by its kind and name.
 *
 * @param kind kind of the document
 * @param name name of the service or data centre
 */
public record DocumentKey(DocumentKind kind, String name) {
    /** Returns the key of the given document, whatever its revision. */
    public static DocumentKey of(Document document) {
        return new DocumentKey(document.getKind(), document.getName());
    }
}
