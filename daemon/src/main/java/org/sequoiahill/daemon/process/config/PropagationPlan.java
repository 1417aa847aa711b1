package org.sequoiahill.daemon.process.config;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.settings.Role;

/**
 * The peers from which a process fetches the configuration, and those that it notifies.
 *
 * @param sources distinct peers from which to fetch
 * @param notifiedPeers peers that are notified of each newer revision
 * @param pullInterval maximum interval of the periodic pull
 */
public record PropagationPlan(
        List<PeerVm> sources, List<PeerVm> notifiedPeers, Duration pullInterval) {
    private static final Duration CONTROL_PULL_INTERVAL = Duration.ofSeconds(2);
    private static final Duration AGENT_PULL_INTERVAL = Duration.ofSeconds(5);

    /**
     * Returns the plan of a daemon.
     *
     * <p>Stores and entries fetch from all stores and entries, and stores also notify them all. A
     * daemon that is only an agent fetches from the stores and entries of its own data centre, or
     * from all if it has none.
     */
    public static PropagationPlan of(DaemonSettings settings) {
        boolean isAgentOnly = !settings.hasRole(Role.ENTRY) && !settings.hasRole(Role.STORE);
        List<PeerVm> others = otherPeers(settings);
        if (isAgentOnly) {
            List<PeerVm> inSameDataCentre =
                    others.stream()
                            .filter(peer -> peer.dataCentre().equals(settings.dataCentre()))
                            .toList();
            return new PropagationPlan(
                    inSameDataCentre.isEmpty() ? others : inSameDataCentre,
                    List.of(),
                    AGENT_PULL_INTERVAL);
        }
        List<PeerVm> notifiedPeers = settings.hasRole(Role.STORE) ? others : List.of();
        return new PropagationPlan(others, notifiedPeers, CONTROL_PULL_INTERVAL);
    }

    private static List<PeerVm> otherPeers(DaemonSettings settings) {
        Map<String, PeerVm> peers = new LinkedHashMap<>();
        settings.stores().forEach(peer -> peers.putIfAbsent(peer.vm(), peer));
        settings.entries().forEach(peer -> peers.putIfAbsent(peer.vm(), peer));
        peers.remove(settings.vm());
        return List.copyOf(peers.values());
    }
}
