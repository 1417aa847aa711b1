package org.sequoiahill.daemon.process.config;

/**
 * Bounds of the configuration that stores hold.
 *
 * @param documents most documents
 * @param documentBytes largest document
 * @param totalBytes most bytes of all documents
 * @param results most change ids whose first answer is kept
 * @param resultBytes most bytes of these answers; the newest is kept even if it is larger
 * @param versions most version names that are bound to a manifest
 * @param auditEntries most entries of the audit trail
 * @param auditBytes most bytes of these entries
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
    /** Returns the bounds of a daemon. */
    public static ConfigurationLimits standard() {
        return new ConfigurationLimits(
                2_000, 1 << 20, 6L << 20, 10_000, 2L << 20, 20_000, 10_000, 4L << 20);
    }
}
