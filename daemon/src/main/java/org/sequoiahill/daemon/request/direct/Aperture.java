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
 * The subset of a service's endpoints that one entry prefers: a contiguous arc of the hash ring of
 * the endpoints in its region.
 *
 * <p>Load information is some hundred milliseconds old, so if every entry chose the least loaded
 * endpoint of the fleet, all would choose the same one. With apertures, each endpoint is preferred
 * by a small and nearly equal number of entries. An entry knows its own part of the load in its
 * aperture without delay, and often reuses connections to it. Ring positions follow from endpoint
 * ids, so entries agree on them without communicating.
 */
final class Aperture {
    /**
     * Minimum number of endpoints in an aperture, if the region has as many; with fewer, the
     * requests of a busy entry queue.
     */
    private static final int MIN_WIDTH = 4;

    /**
     * Multiplier that disperses the hash codes of ids which differ only in their last digits; 2^32
     * / golden ratio.
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

    /**
     * Returns the aperture for a service, given this entry's position among the entries of its
     * region.
     */
    static Aperture of(FleetSnapshot snapshot, String service, DirectSettings settings) {
        List<EndpointInfo> ring = new ArrayList<>();
        for (EndpointInfo endpoint : snapshot.endpoints(service)) {
            if (settings.regionOf(endpoint.dataCentre()).equals(settings.region())) {
                ring.add(endpoint);
            }
        }
        ring.sort(RING_ORDER);
        int entryRank = 0;
        int entryCount = 0;
        for (Participant entry : snapshot.participants(ParticipantRole.ENTRY)) {
            if (settings.regionOf(entry.getDataCentre()).equals(settings.region())) {
                entryCount++;
                entryRank += entry.getVm().compareTo(settings.vm()) < 0 ? 1 : 0;
            }
        }
        return new Aperture(endpointIdsInArc(ring, entryRank, Math.max(1, entryCount)));
    }

    /** Returns whether an endpoint belongs to this aperture. */
    boolean contains(EndpointInfo endpoint) {
        return mIds.contains(endpoint.id());
    }

    private static Set<String> endpointIdsInArc(
            List<EndpointInfo> ring, int entryRank, int entryCount) {
        int size = ring.size();
        int evenWidth = (size + entryCount - 1) / entryCount;
        int width = Math.min(size, Math.max(MIN_WIDTH, evenWidth));
        int start = (int) ((long) entryRank * size / entryCount);
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < width; i++) {
            ids.add(ring.get((start + i) % size).id());
        }
        return ids;
    }
}
