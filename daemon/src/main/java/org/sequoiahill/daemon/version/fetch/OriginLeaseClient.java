package org.sequoiahill.daemon.version.fetch;

import java.util.concurrent.CompletableFuture;

/** Grants draws from the origin beyond each region's first copy. */
@FunctionalInterface
public interface OriginLeaseClient {
    /**
     * Asks for draws.
     *
     * @param version digest of the manifest
     * @param versionChunks chunks that the version has
     * @param chunks draws wanted
     * @return draws granted, from zero to those wanted; never fails
     */
    CompletableFuture<Integer> request(String version, int versionChunks, int chunks);
}
