package org.sequoiahill.daemon.process.config;

/**
 * Limits of the configuration that stores hold.
 *
 * @param documents maximum number of documents
 * @param documentBytes maximum size of a document, counted in characters
 * @param totalBytes maximum total size of all documents, counted in characters
 * @param results maximum number of change ids whose first result is kept
 * @param resultBytes maximum total size of these results; the newest is always kept
 * @param versions maximum number of version names that are bound to a manifest
 * @param auditEntries maximum number of entries of the audit trail
 * @param auditBytes maximum total size of these entries
 */
public record ConfigurationLimits(
        int documents,
        int documentBytes,
        long totalBytes,
        int results,
        long resultBytes,
        int versions,
        int auditEntries,
        long auditBytes) {
    /** Returns the limits that daemons use. */
    public static ConfigurationLimits standard() {
        return new ConfigurationLimits(
                2_000, 1 << 20, 6L << 20, 10_000, 2L << 20, 20_000, 10_000, 4L << 20);
    }
}
