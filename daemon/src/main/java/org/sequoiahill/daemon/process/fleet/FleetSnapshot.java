package org.sequoiahill.daemon.process.fleet;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/**
 * What a daemon knows about the fleet at one moment; immutable.
 *
 * <p>Lookup maps are built once per snapshot: an entry queries them for every request and every
 * endpoint, far more often than a fleet of hundreds of VMs changes.
 */
public final class FleetSnapshot {
    /** Snapshot of a daemon that has received nothing yet. */
    public static final FleetSnapshot EMPTY =
            of(FleetState.EMPTY, Optional.empty(), Map.of(), List.of(), Map.of(), 0);

    private final FleetState mState;
    private final Optional<RoutingTable> mTable;
    private final Map<String, List<EndpointInfo>> mEndpointsByService;
    private final Map<HostPort, EndpointInfo> mEndpointsByAddress = new HashMap<>();
    private final Map<ParticipantRole, List<Participant>> mParticipants =
            new EnumMap<>(ParticipantRole.class);
    private final Map<HostPort, Participant> mAgentsByEndpoint = new HashMap<>();
    private final Map<String, VersionHistory> mVersions;
    private final long mNewestTableNumber;

    private FleetSnapshot(
            FleetState state,
            Optional<RoutingTable> table,
            Map<String, List<EndpointInfo>> endpointsByService,
            List<Participant> participants,
            Map<String, VersionHistory> versions,
            long newestTableNumber) {
        mState = state;
        mTable = table;
        mEndpointsByService = Map.copyOf(endpointsByService);
        mVersions = Map.copyOf(versions);
        mNewestTableNumber = newestTableNumber;
        for (List<EndpointInfo> endpoints : mEndpointsByService.values()) {
            endpoints.forEach(endpoint -> mEndpointsByAddress.put(endpoint.address(), endpoint));
        }
        for (ParticipantRole role : ParticipantRole.values()) {
            mParticipants.put(
                    role, participants.stream().filter(each -> each.getRole() == role).toList());
        }
        for (Participant agent : participants(ParticipantRole.AGENT)) {
            if (!agent.getEndpoint().isEmpty()) {
                mAgentsByEndpoint.put(HostPort.parse(agent.getEndpoint()), agent);
            }
        }
    }

    /**
     * Returns a snapshot.
     *
     * @param state state that the stores have agreed on
     * @param table routing table, empty until one has been received
     * @param endpointsByService endpoints, including leaving ones
     * @param participants running daemons
     * @param versions publication times of each model's versions
     * @param newestTableNumber number of the newest routing table that a store has reported; higher
     *     than that of {@code table} until its text has been received and parsed
     */
    public static FleetSnapshot of(
            FleetState state,
            Optional<RoutingTable> table,
            Map<String, List<EndpointInfo>> endpointsByService,
            List<Participant> participants,
            Map<String, VersionHistory> versions,
            long newestTableNumber) {
        return new FleetSnapshot(
                state, table, endpointsByService, participants, versions, newestTableNumber);
    }

    /** Returns the state that the stores have agreed on. */
    public FleetState state() {
        return mState;
    }

    /** Returns the routing table, empty until one has been received. */
    public Optional<RoutingTable> table() {
        return mTable;
    }

    /** Returns whether a newer routing table exists than the one in this snapshot. */
    public boolean isTableStale() {
        return mNewestTableNumber > mTable.map(RoutingTable::number).orElse(0L);
    }

    /** Returns all endpoints by service, including leaving ones. */
    public Map<String, List<EndpointInfo>> endpointsByService() {
        return mEndpointsByService;
    }

    /** Returns the endpoints of a service, including leaving ones. */
    public List<EndpointInfo> endpoints(String service) {
        return mEndpointsByService.getOrDefault(service, List.of());
    }

    /** Returns the endpoint at an address. */
    public Optional<EndpointInfo> endpointAt(HostPort address) {
        return Optional.ofNullable(mEndpointsByAddress.get(address));
    }

    /** Returns when the versions of a model were published. */
    public VersionHistory versionHistory(String model) {
        return mVersions.getOrDefault(model, VersionHistory.NONE);
    }

    /** Returns the daemons of a role. */
    public List<Participant> participants(ParticipantRole role) {
        return mParticipants.getOrDefault(role, List.of());
    }

    /** Returns the agent that runs beside an endpoint on the same VM. */
    public Optional<Participant> agentOf(EndpointInfo endpoint) {
        return Optional.ofNullable(mAgentsByEndpoint.get(endpoint.address()));
    }
}
