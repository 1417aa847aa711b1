package org.sequoiahill.daemon.process.fleet;

import java.util.OptionalInt;
import java.util.Set;

/**
 * Whom callers belong to.
 *
 * @param name name of the organisation
 * @param priority rank of its requests, which goes before the route's
 * @param regions regions that may serve its requests, empty for all
 */
public record Organisation(String name, OptionalInt priority, Set<String> regions) {
    /** Copies the set. */
    public Organisation {
        regions = Set.copyOf(regions);
    }

    /** Returns whether requests may be served in a region. */
    public boolean allows(String region) {
        return regions.isEmpty() || regions.contains(region);
    }
}
