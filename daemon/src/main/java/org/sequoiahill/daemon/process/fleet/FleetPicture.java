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
 * What a daemon knows of the fleet at one moment; never changes.
 *
 * <p>Look-ups are prepared once: an entry asks for every request and every endpoint, and a fleet of
 * hundreds of VMs changes far less often than that.
 */
public final class FleetPicture {
    /** Picture of a daemon that has heard of nothing. */
    public static final FleetPicture EMPTY =
            of(FleetState.EMPTY, Optional.empty(), Map.of(), List.of(), Map.of(), 0);

    private final FleetState mState;
    private final Optional<RoutingTable> mTable;
    private final Map<String, List<EndpointInfo>> mEndpointsByService;
    private final Map<HostPort, EndpointInfo> mEndpointsByAddress = new HashMap<>();
    private final Map<ParticipantRole, List<Participant>> mParticipants =
            new EnumMap<>(ParticipantRole.class);
    private final Map<HostPort, Participant> mAgentsByEndpoint = new HashMap<>();
    private final Map<String, VersionHistory> mVersions;
    private final long mNewestTable;

    private FleetPicture(
            FleetState state,
            Optional<RoutingTable> table,
            Map<String, List<EndpointInfo>> endpointsByService,
            List<Participant> participants,
            Map<String, VersionHistory> versions,
            long newestTable) {
        mState = state;
        mTable = table;
        mEndpointsByService = Map.copyOf(endpointsByService);
        mVersions = Map.copyOf(versions);
        mNewestTable = newestTable;
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
     * Returns a picture.
     *
     * @param state what the stores agree on
     * @param table routing table, empty until one is known
     * @param endpointsByService endpoints, leaving ones among them
     * @param participants daemons that run
     * @param versions when the versions of each model were named, in monotonic time
     * @param newestTable number of the newest routing table that a store has told of; above that of
     *     {@code table} while its text is on the way
     */
    public static FleetPicture of(
            FleetState state,
            Optional<RoutingTable> table,
            Map<String, List<EndpointInfo>> endpointsByService,
            List<Participant> participants,
            Map<String, VersionHistory> versions,
            long newestTable) {
        return new FleetPicture(
                state, table, endpointsByService, participants, versions, newestTable);
    }

    /** Returns what the stores agree on. */
    public FleetState state() {
        return mState;
    }

    /** Returns the routing table, empty until one is known. */
    public Optional<RoutingTable> table() {
        return mTable;
    }

    /** Returns whether a newer routing table exists than the one that is held. */
    public boolean isTableBehind() {
        return mNewestTable > mTable.map(RoutingTable::number).orElse(0L);
    }

    /** Returns all endpoints, leaving ones among them, by service. */
    public Map<String, List<EndpointInfo>> endpointsByService() {
        return mEndpointsByService;
    }

    /** Returns the endpoints of a service. */
    public List<EndpointInfo> endpoints(String service) {
        return mEndpointsByService.getOrDefault(service, List.of());
    }

    /** Returns the endpoint at an address. */
    public Optional<EndpointInfo> endpointAt(HostPort address) {
        return Optional.ofNullable(mEndpointsByAddress.get(address));
    }

    /** Returns when the versions of a model were named. */
    public VersionHistory history(String model) {
        return mVersions.getOrDefault(model, VersionHistory.NONE);
    }

    /** Returns the daemons of a role. */
    public List<Participant> participants(ParticipantRole role) {
        return mParticipants.getOrDefault(role, List.of());
    }

    /** Returns the agent beside an endpoint. */
    public Optional<Participant> agentBeside(EndpointInfo endpoint) {
        return Optional.ofNullable(mAgentsByEndpoint.get(endpoint.address()));
    }
}
