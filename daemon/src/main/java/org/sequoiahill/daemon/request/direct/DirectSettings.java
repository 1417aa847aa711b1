package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Map;

/**
 * Bounds of an entry that sends straight to endpoints.
 *
 * @param vm name of this entry's VM
 * @param regionsByDataCentre region of each data centre
 * @param region region of this entry
 * @param retryRatio repeats of a service's requests that all entries together may add
 * @param retryWindow time over which repeats are counted
 * @param retrySlack repeats in a window that all entries together may add besides
 * @param requireVersionAfter age of a version from which requests insist on it
 * @param recallAfter age of a version from which requests that an older one hasn't begun are
 *     recalled
 */
public record DirectSettings(
        String vm,
        Map<String, String> regionsByDataCentre,
        String region,
        double retryRatio,
        Duration retryWindow,
        double retrySlack,
        Duration requireVersionAfter,
        Duration recallAfter) {
    /** Copies the map. */
    public DirectSettings {
        regionsByDataCentre = Map.copyOf(regionsByDataCentre);
    }

    /** Returns the region of a data centre; one that the settings don't name is its own. */
    String regionOf(String dataCentre) {
        return regionsByDataCentre.getOrDefault(dataCentre, dataCentre);
    }
}
