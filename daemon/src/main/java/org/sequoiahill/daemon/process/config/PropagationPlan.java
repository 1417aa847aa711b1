package org.sequoiahill.daemon.process.config;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahill.daemon.process.settings.DaemonSettings;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.settings.Role;

/**
 * Whom a process asks for configuration, and whom it tells of a newer one.
 *
 * @param sources processes that may be asked, each once
 * @param notifiedPeers processes that are told of each newer revision
 * @param pullInterval longest time between two pulls that no message has caused
 */
public record PropagationPlan(
        List<PeerVm> sources, List<PeerVm> notifiedPeers, Duration pullInterval) {
    private static final Duration CONTROL_PULL_INTERVAL = Duration.ofSeconds(2);
    private static final Duration AGENT_PULL_INTERVAL = Duration.ofSeconds(5);

    /**
     * Returns the plan of a daemon: a store tells every entry and store; an entry asks stores and
     * the entries of every data centre; an agent asks the entries of its own data centre, and where
     * there are none, those of the others.
     */
    public static PropagationPlan of(DaemonSettings settings) {
        boolean isAgentOnly = !settings.hasRole(Role.ENTRY) && !settings.hasRole(Role.STORE);
        List<PeerVm> others = otherPeers(settings);
        if (isAgentOnly) {
            List<PeerVm> here =
                    others.stream()
                            .filter(peer -> peer.dataCentre().equals(settings.dataCentre()))
                            .toList();
            return new PropagationPlan(
                    here.isEmpty() ? others : here, List.of(), AGENT_PULL_INTERVAL);
        }
        List<PeerVm> pushed = settings.hasRole(Role.STORE) ? others : List.of();
        return new PropagationPlan(others, pushed, CONTROL_PULL_INTERVAL);
    }

    private static List<PeerVm> otherPeers(DaemonSettings settings) {
        Map<String, PeerVm> peers = new LinkedHashMap<>();
        settings.stores().forEach(peer -> peers.putIfAbsent(peer.vm(), peer));
        settings.entries().forEach(peer -> peers.putIfAbsent(peer.vm(), peer));
        peers.remove(settings.vm());
        return List.copyOf(peers.values());
    }
}
