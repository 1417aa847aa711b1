package org.sequoiahill.daemon.request.direct;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/**
 * The endpoints of a service that one entry prefers: an arc of the ring of its region's endpoints.
 *
 * <p>Answers many entries before many endpoints. All of them know loads that are some hundred
 * milliseconds old, and were each to take the least loaded endpoint of the fleet, they would all
 * take the same one. With an arc each, every endpoint is preferred by equally many entries, a few;
 * what an entry sends to its own arc it knows at once, and connections to it are used often. Which
 * endpoint lies where on the ring follows from its id, so that entries agree without talking.
 */
final class Aperture {
    /** Least endpoints of an arc; fewer would make the requests of a busy entry wait. */
    private static final int MIN_WIDTH = 4;

    /**
     * Multiplier that spreads ids that differ in their last digits only; 2^32 over golden ratio.
     */
    private static final int HASH_MULTIPLIER = 0x9E3779B9;

    private static final Comparator<EndpointInfo> RING_ORDER =
            Comparator.comparingInt(
                            (EndpointInfo endpoint) -> endpoint.id().hashCode() * HASH_MULTIPLIER)
                    .thenComparing(EndpointInfo::id);

    private final Set<String> mIds;

    private Aperture(Set<String> ids) {
        mIds = ids;
    }

    /** Returns the aperture of an entry for a service. */
    static Aperture of(FleetSnapshot picture, String service, DirectSettings settings) {
        List<EndpointInfo> ring = new ArrayList<>();
        for (EndpointInfo endpoint : picture.endpoints(service)) {
            if (settings.regionOf(endpoint.dataCentre()).equals(settings.region())) {
                ring.add(endpoint);
            }
        }
        ring.sort(RING_ORDER);
        int rank = 0;
        int entries = 0;
        for (Participant entry : picture.participants(ParticipantRole.ENTRY)) {
            if (settings.regionOf(entry.getDataCentre()).equals(settings.region())) {
                entries++;
                rank += entry.getVm().compareTo(settings.vm()) < 0 ? 1 : 0;
            }
        }
        return new Aperture(endpointIdsInArc(ring, rank, Math.max(1, entries)));
    }

    /** Returns whether an endpoint is preferred. */
    boolean contains(EndpointInfo endpoint) {
        return mIds.contains(endpoint.id());
    }

    private static Set<String> endpointIdsInArc(List<EndpointInfo> ring, int rank, int entries) {
        int size = ring.size();
        int equalPart = (size + entries - 1) / entries;
        int width = Math.min(size, Math.max(MIN_WIDTH, equalPart));
        int start = (int) ((long) rank * size / entries);
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < width; i++) {
            ids.add(ring.get((start + i) % size).id());
        }
        return ids;
    }
}
