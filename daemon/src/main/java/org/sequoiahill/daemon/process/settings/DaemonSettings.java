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
 * @param roles what the daemon does
 * @param dataFolder folder that holds every file of the daemon
 * @param admin address of operators' calls, health and metrics
 * @param control address of control messages
 * @param data address of requests and chunks
 * @param entries all entry VMs
 * @param stores all store VMs
 * @param agent settings of the agent, where the daemon is one
 * @param operators who may call the operators' address
 * @param log where log lines go
 * @param replication how stores replicate their logs
 * @param drain how the daemon ends
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
     * Another VM of the system.
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
     * @param capacity requests that the endpoint bears at once
     * @param warmUp what the endpoint bears before it is warm
     * @param capacityBytes bytes of request bodies that the endpoint bears at once
     * @param checksFencing whether the endpoint refuses an order with an old fencing number
     * @param cacheBytes bytes of weights that may be kept on disk
     * @param linkBytesPerSecond rate at which chunks may be sent, and received
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
     * Where log lines go.
     *
     * @param level least level that is written
     * @param file file that is appended to; standard error where empty
     */
    public record LogSettings(String level, Optional<String> file) {}

    /** Returns how many data centres have entries. */
    public int entryDataCentreCount() {
        return (int) entries.stream().map(PeerVm::dataCentre).distinct().count();
    }

    /**
     * How stores replicate their logs.
     *
     * @param heartbeat interval between messages of an idle leader
     * @param electionMin least time without a leader before an election
     * @param electionMax greatest time without a leader before an election
     * @param snapshotEntries entries after which a snapshot is made
     */
    public record ReplicationSettings(
            Duration heartbeat, Duration electionMin, Duration electionMax, int snapshotEntries) {}

    /**
     * How the daemon ends.
     *
     * @param linger time for which it takes requests after it has said that it is not ready
     * @param bound longest time that running requests are given after that
     */
    public record DrainSettings(Duration linger, Duration timeout) {}

    /** Returns whether the daemon has a role. */
    public boolean hasRole(Role role) {
        return roles.contains(role);
    }
}
