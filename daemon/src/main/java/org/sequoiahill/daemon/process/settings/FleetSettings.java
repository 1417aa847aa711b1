package org.sequoiahill.daemon.process.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of a daemon that finds the others by seeds.
 *
 * @param vm name of the VM within the fleet; its IP address, since seeds name nothing else
 * @param displayName name of the VM for people
 * @param role what the daemon does
 * @param dataCentre data centre of the VM
 * @param regions region of each data centre
 * @param control where other daemons call
 * @param metrics where metrics are served
 * @param callerAddress where an entry answers callers
 * @param readinessAddress where an entry says whether it takes callers
 * @param operatorAddress where a store answers operators and endpoints
 * @param seeds control addresses of stores to ask first
 * @param mayBootstrap whether the fleet may not exist yet
 * @param dataFolder folder of a store's files
 * @param engine engine beside an agent
 * @param service service of that engine
 * @param limits bounds that the whole fleet keeps
 * @param logLevel level of the log
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

    /** Returns the region of the VM. */
    public String region() {
        return regions.getOrDefault(dataCentre, dataCentre);
    }

    /** What a daemon does. */
    public enum FleetRole {
        /** Answers callers. */
        ENTRY,
        /** Keeps the fleet's state and hears endpoints. */
        STORE,
        /** Keeps the engine beside it at the newest version. */
        AGENT
    }

    /**
     * Bounds that the whole fleet keeps.
     *
     * @param heartbeat interval of endpoints' reports
     * @param lostStores stores that may be lost at the same time
     * @param repeatRatio repeats of a service's requests that all entries together may add
     * @param repeatWindow time over which repeats are counted
     * @param repeatSlack repeats in a window that all entries together may add besides
     * @param version time in which a named version must serve everywhere
     * @param drain longest time that a stopping daemon lets running requests end
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
