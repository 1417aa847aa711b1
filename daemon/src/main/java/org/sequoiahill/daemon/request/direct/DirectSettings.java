package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Map;

/**
 * Settings of an entry that sends requests straight to endpoints.
 *
 * @param vm name of this entry's VM
 * @param regionsByDataCentre region of each data centre
 * @param region region of this entry
 * @param retryRatio retries per request that all entries together may send to a service
 * @param retryWindow time window in which retries are counted
 * @param retrySlack additional retries per window that all entries together may send to a service
 * @param requireVersionAfter age of a version above which requests require it
 * @param recallAfter age of a version above which an attempt at an endpoint with an older one is
 *     given up unless its response has begun
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
    /** Creates settings with an unmodifiable copy of the map. */
    public DirectSettings {
        regionsByDataCentre = Map.copyOf(regionsByDataCentre);
    }

    /**
     * Returns the region of a data centre; one without a configured region is a region of its own.
     */
    String regionOf(String dataCentre) {
        return regionsByDataCentre.getOrDefault(dataCentre, dataCentre);
    }
}
