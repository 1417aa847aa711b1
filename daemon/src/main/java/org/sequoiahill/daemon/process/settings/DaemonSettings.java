package org.sequoiahill.daemon.process.settings;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sequoiahill.daemon.request.gate.SlowStart;

/**
 * Settings of one daemon.
 *
 * @param vm name of the VM, unique in the system
 * @param dataCentre data centre of the VM
 * @param region region of the data centre
 * @param roles roles of the daemon
 * @param dataFolder folder of the daemon's files; the log file may be elsewhere
 * @param admin address of the operators' API, health and metrics
 * @param control address of control messages
 * @param data address of requests and chunks
 * @param entries all entry VMs
 * @param stores all store VMs
 * @param agent settings of the agent, if the daemon has that role
 * @param operators operators who may use the operators' API
 * @param log level and file of the log
 * @param replication timing and snapshots of the replicated logs
 * @param drain timing of a graceful stop
 */
public record DaemonSettings(
        String vm,
        String dataCentre,
        String region,
        Set<Role> roles,
        Path dataFolder,
        HostPort admin,
        HostPort control,
        HostPort data,
        List<PeerVm> entries,
        List<PeerVm> stores,
        Optional<AgentSettings> agent,
        List<Operator> operators,
        LogSettings log,
        ReplicationSettings replication,
        DrainSettings drain) {
    /**
     * An entry or store VM of the system, possibly this one.
     *
     * @param vm name of the VM
     * @param dataCentre its data centre
     * @param control address of its control messages
     * @param data address of its requests
     */
    public record PeerVm(String vm, String dataCentre, HostPort control, HostPort data) {}

    /**
     * Settings of an agent.
     *
     * @param service service of the endpoint
     * @param engine address of the endpoint
     * @param origin address of the origin of weights
     * @param capacity requests that the endpoint can process concurrently
     * @param warmUp reduced capacity of the endpoint while it is cold
     * @param capacityBytes bytes of bodies of concurrent requests that the endpoint can hold
     * @param checksFencing whether the endpoint refuses a load with an outdated fencing number
     * @param cacheBytes bytes of weights that the agent may cache on disk
     * @param linkBytesPerSecond greatest rate of sending chunks, and of receiving them
     */
    public record AgentSettings(
            String service,
            URI engine,
            URI origin,
            int capacity,
            SlowStart.WarmUp warmUp,
            long capacityBytes,
            boolean checksFencing,
            long cacheBytes,
            long linkBytesPerSecond) {}

    /**
     * An operator.
     *
     * @param name name in the audit trail
     * @param team team whose documents the operator may change; {@code *} for all
     * @param tokenDigest SHA-256 of the operator's bearer token
     */
    public record Operator(String name, String team, String tokenDigest) {}

    /**
     * Level and file of the log.
     *
     * @param level lowest level that is written
     * @param file file that lines are appended to; standard error if empty
     */
    public record LogSettings(String level, Optional<String> file) {}

    /** Returns the number of data centres that have entries. */
    public int entryDataCentreCount() {
        return (int) entries.stream().map(PeerVm::dataCentre).distinct().count();
    }

    /**
     * Timing and snapshots of the replicated logs.
     *
     * @param heartbeat interval between messages of an idle leader
     * @param electionMin shortest time without a leader before an election
     * @param electionMax longest time without a leader before an election
     * @param snapshotEntries log entries after which a snapshot is taken
     */
    public record ReplicationSettings(
            Duration heartbeat, Duration electionMin, Duration electionMax, int snapshotEntries) {}

    /**
     * Timing of a graceful stop.
     *
     * @param linger time for which the daemon still accepts requests after it reports not ready
     * @param timeout longest time that running requests may take after that
     */
    public record DrainSettings(Duration linger, Duration timeout) {}

    /** Returns whether the daemon has a role. */
    public boolean hasRole(Role role) {
        return roles.contains(role);
    }
}
