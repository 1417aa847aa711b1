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
 * @param name name of the VM for people
 * @param role what the daemon does
 * @param dataCentre data centre of the VM
 * @param regions region of each data centre
 * @param control where other daemons call
 * @param metrics where metrics are served
 * @param callers where an entry answers callers
 * @param ready where an entry says whether it takes callers
 * @param operators where a store answers operators and endpoints
 * @param seeds control addresses of stores to ask first
 * @param mayFound whether the fleet may not exist yet
 * @param dataFolder folder of a store's files
 * @param engine engine beside an agent
 * @param service service of that engine
 * @param bounds bounds that the whole fleet keeps
 * @param log level of the log
 */
public record FleetSettings(
        String vm,
        String name,
        FleetRole role,
        String dataCentre,
        Map<String, String> regions,
        HostPort control,
        HostPort metrics,
        Optional<HostPort> callers,
        Optional<HostPort> ready,
        Optional<HostPort> operators,
        List<HostPort> seeds,
        boolean mayFound,
        Optional<Path> dataFolder,
        Optional<HostPort> engine,
        String service,
        FleetBounds bounds,
        String log) {
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
    public record FleetBounds(
            Duration heartbeat,
            int lostStores,
            double repeatRatio,
            Duration repeatWindow,
            double repeatSlack,
            Duration version,
            Duration drain) {}
}
