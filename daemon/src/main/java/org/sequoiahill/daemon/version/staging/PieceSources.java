package org.sequoiahill.daemon.version.staging;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.fleet.RoutedService;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;

/**
 * Where pieces can be fetched from, according to a snapshot of the fleet.
 *
 * @param plan which entry fetches and which serves each piece
 * @param entries control address of each entry, by VM name
 * @param origin address of the origin; empty if the routing table has none
 * @param agents agents and the versions that their engines serve
 * @param regions region of each data centre
 * @param pieceCounts number of pieces in a version of each model
 */
record PieceSources(
        PiecePlan plan,
        Map<String, HostPort> entries,
        Optional<HostPort> origin,
        List<Participant> agents,
        Map<String, String> regions,
        Map<String, Integer> pieceCounts) {
    /**
     * Returns the sources according to a snapshot of the fleet.
     *
     * @param regions region of each data centre
     */
    static PieceSources of(FleetSnapshot snapshot, Map<String, String> regions) {
        Map<String, String> regionOf = new HashMap<>();
        Map<String, HostPort> addresses = new HashMap<>();
        for (Participant entry : snapshot.participants(ParticipantRole.ENTRY)) {
            String dataCentre = entry.getDataCentre();
            regionOf.put(entry.getVm(), regions.getOrDefault(dataCentre, dataCentre));
            addresses.put(entry.getVm(), HostPort.parse(entry.getControl()));
        }
        Optional<RoutedService> origin = snapshot.table().flatMap(table -> table.weightsOrigin());
        int connections = origin.map(RoutedService::maxConnections).orElse(0);
        return new PieceSources(
                PiecePlan.of(regionOf, connections),
                addresses,
                origin.flatMap(RoutedService::origin),
                snapshot.participants(ParticipantRole.AGENT),
                regions,
                pieceCounts(snapshot));
    }

    private static Map<String, Integer> pieceCounts(FleetSnapshot snapshot) {
        Map<String, Integer> counts = new HashMap<>();
        if (snapshot.table().isEmpty()) {
            return counts;
        }
        for (RoutedService service : snapshot.table().orElseThrow().services()) {
            service.engine()
                    .filter(engine -> engine.pieces() > 0)
                    .ifPresent(engine -> counts.put(engine.model(), engine.pieces()));
        }
        return counts;
    }

    /**
     * Returns a manifest whose form is valid.
     *
     * @throws IOException if it can't be the manifest of a version of its model
     */
    PieceManifest checked(PieceManifest manifest) throws IOException {
        return manifest.checked(pieceCounts.getOrDefault(manifest.model(), manifest.pieces()));
    }

    /** Returns whether any engine of the fleet serves a model. */
    boolean isModelServed(String model) {
        return agents.stream().anyMatch(agent -> agent.getVersions().containsKey(model));
    }

    /** Returns the control addresses of the agents of a region whose engines serve a version. */
    List<HostPort> holders(String region, String model, long version) {
        return agents.stream()
                .filter(agent -> region.equals(regionOf(agent.getDataCentre())))
                .filter(agent -> agent.getVersions().getOrDefault(model, 0L) == version)
                .map(agent -> HostPort.parse(agent.getControl()))
                .toList();
    }

    private String regionOf(String dataCentre) {
        return regions.getOrDefault(dataCentre, dataCentre);
    }

    /** Returns the order in which an agent of a region requests pieces. */
    PieceOrder pieceOrder(String region, String self) {
        List<String> vms =
                agents.stream()
                        .filter(agent -> region.equals(regionOf(agent.getDataCentre())))
                        .map(Participant::getVm)
                        .toList();
        return PieceOrder.of(self, vms, plan.servingEntryCount(region));
    }

    /**
     * Returns the address of the entry that fetches a piece from the origin; empty if that is
     * {@code self} or its address is unknown.
     */
    Optional<HostPort> fetchingEntry(int piece, String self) {
        return plan.fetchingEntry(piece)
                .filter(name -> !name.equals(self))
                .flatMap(name -> Optional.ofNullable(entries.get(name)));
    }

    /**
     * Returns the address of the entry that serves a piece to the agents of a region; empty if the
     * fleet has no entry.
     *
     * @param failures failed attempts to fetch the piece so far
     */
    Optional<HostPort> servingEntry(String region, int piece, int failures) {
        return plan.servingEntry(region, piece, failures)
                .flatMap(name -> Optional.ofNullable(entries.get(name)));
    }
}
