package org.sequoiahill.daemon.version.fetch;

import java.util.concurrent.CompletableFuture;

/** Requests leases for chunk fetches from the origin beyond the first copy per data centre. */
@FunctionalInterface
public interface OriginLeaseClient {
    /**
     * Requests a lease.
     *
     * @param version digest of the manifest
     * @param versionChunks number of chunks of the version
     * @param chunks number of fetches requested
     * @return number of fetches granted, from zero to {@code chunks}; the future never fails
     */
    CompletableFuture<Integer> request(String version, int versionChunks, int chunks);
}
