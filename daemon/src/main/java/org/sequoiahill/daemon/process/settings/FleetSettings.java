package org.sequoiahill.daemon.process.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of a daemon that discovers the others through seeds.
 *
 * @param vm name of the VM within the fleet; must be its IP address, because a store takes the
 *     names of the other stores from the addresses of the seeds
 * @param displayName human-readable name of the VM
 * @param role role of the daemon
 * @param dataCentre data centre of the VM
 * @param regions region of each data centre
 * @param control address of control messages of other daemons
 * @param metrics address of the metrics and health checks
 * @param callerAddress address at which an entry serves callers
 * @param readinessAddress address of an entry's readiness probe
 * @param operatorAddress address at which a store serves operators and endpoints
 * @param seeds control addresses of the stores to contact first
 * @param mayBootstrap whether a store may bootstrap the fleet if it does not exist yet
 * @param dataFolder folder of a store's files
 * @param engine address of the engine on an agent's VM
 * @param service service of that engine
 * @param limits limits that apply to the whole fleet
 * @param logLevel lowest level that is logged
 */
public record FleetSettings(
        String vm,
        String displayName,
        FleetRole role,
        String dataCentre,
        Map<String, String> regions,
        HostPort control,
        HostPort metrics,
        Optional<HostPort> callerAddress,
        Optional<HostPort> readinessAddress,
        Optional<HostPort> operatorAddress,
        List<HostPort> seeds,
        boolean mayBootstrap,
        Optional<Path> dataFolder,
        Optional<HostPort> engine,
        String service,
        FleetLimits limits,
        String logLevel) {
    /** Copies the collections. */
    public FleetSettings {
        regions = Map.copyOf(regions);
        seeds = List.copyOf(seeds);
    }

    /** Returns the region of the VM; a data centre without a region is a region of its own. */
    public String region() {
        return regions.getOrDefault(dataCentre, dataCentre);
    }

    /** Role of a daemon. */
    public enum FleetRole {
        /** Serves callers. */
        ENTRY,
        /** Stores the fleet's state and receives the endpoints' reports. */
        STORE,
        /** Keeps the engine on its VM at the newest version. */
        AGENT
    }

    /**
     * Limits that apply to the whole fleet.
     *
     * @param heartbeatInterval interval of endpoints' reports
     * @param toleratedStoreFailures number of stores that may fail at the same time
     * @param retryRatio retries of all entries together, as a ratio of a service's requests
     * @param retryWindow time window over which retries are counted
     * @param retrySlack further retries in a window that all entries together may add
     * @param versionDeadline time after publication by which a version must serve everywhere
     * @param drainTimeout longest time from a stop request until an entry has stopped, including
     *     the wait for running requests
     */
    public record FleetLimits(
            Duration heartbeatInterval,
            int toleratedStoreFailures,
            double retryRatio,
            Duration retryWindow,
            double retrySlack,
            Duration versionDeadline,
            Duration drainTimeout) {}
}
