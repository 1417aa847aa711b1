package org.sequoiahill.daemon.process.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/**
 * What a daemon knows of the fleet at one moment; never changes.
 *
 * @param state what the stores agree on
 * @param table routing table, empty until one is known
 * @param endpointsByService endpoints, leaving ones among them
 * @param participants daemons that run
 * @param versions when the versions of each model were named, in monotonic time
 * @param newestTable number of the newest routing table that a store has told of; above that of
 *     {@code table} while its text is on the way
 */
public record FleetPicture(
        FleetState state,
        Optional<RoutingTable> table,
        Map<String, List<EndpointInfo>> endpointsByService,
        List<Participant> participants,
        Map<String, VersionHistory> versions,
        long newestTable) {
    /** Picture of a daemon that has heard of nothing. */
    public static final FleetPicture EMPTY =
            new FleetPicture(FleetState.EMPTY, Optional.empty(), Map.of(), List.of(), Map.of(), 0);

    /** Copies the collections. */
    public FleetPicture {
        endpointsByService = Map.copyOf(endpointsByService);
        participants = List.copyOf(participants);
        versions = Map.copyOf(versions);
    }

    /** Returns whether a newer routing table exists than the one that is held. */
    public boolean isTableBehind() {
        return newestTable > table.map(RoutingTable::number).orElse(0L);
    }

    /** Returns the endpoints of a service. */
    public List<EndpointInfo> endpoints(String service) {
        return endpointsByService.getOrDefault(service, List.of());
    }

    /** Returns when the versions of a model were named. */
    public VersionHistory history(String model) {
        return versions.getOrDefault(model, VersionHistory.NONE);
    }

    /** Returns the daemons of a role. */
    public List<Participant> participants(ParticipantRole role) {
        return participants.stream().filter(each -> each.getRole() == role).toList();
    }

    /** Returns the agents by the address of the endpoint beside them. */
    public Map<String, Participant> agentsByEndpoint() {
        Map<String, Participant> agents = new HashMap<>();
        for (Participant each : participants) {
            if (each.getRole() == ParticipantRole.AGENT) {
                agents.put(each.getEndpoint(), each);
            }
        }
        return agents;
    }
}
