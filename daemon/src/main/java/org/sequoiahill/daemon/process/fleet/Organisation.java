package org.sequoiahill.daemon.process.fleet;

import java.util.OptionalInt;
import java.util.Set;

/**
 * An organisation that callers belong to.
 *
 * @param name name of the organisation
 * @param priority priority of its requests, which overrides that of the route
 * @param regions regions that may serve its requests; empty allows all
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
