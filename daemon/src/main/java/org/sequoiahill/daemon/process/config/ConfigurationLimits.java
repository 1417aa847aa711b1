package org.sequoiahill.daemon.process.config;

/**
 * Limits of the configuration that stores hold.
 *
 * @param documents maximum number of documents
 * @param documentCharacters maximum length of a document
 * @param totalCharacters maximum total length of all documents
 * @param results maximum number of changes whose result is kept, to be returned again if the change
 *     is sent again
 * @param resultCharacters maximum total length of these results, including a fixed overhead per
 *     result; the newest is always kept
 * @param versions maximum number of version names that are bound to a manifest
 * @param auditEntries maximum number of entries of the audit trail
 * @param auditCharacters maximum total length of these entries, including a fixed overhead per
 *     entry; the newest is always kept
 */
public record ConfigurationLimits(
        int documents,
        int documentCharacters,
        long totalCharacters,
        int results,
        long resultCharacters,
        int versions,
        int auditEntries,
        long auditCharacters) {
    /** Returns the limits that daemons use. */
    public static ConfigurationLimits standard() {
        return new ConfigurationLimits(
                2_000, 1 << 20, 6L << 20, 10_000, 2L << 20, 20_000, 10_000, 4L << 20);
    }
}
