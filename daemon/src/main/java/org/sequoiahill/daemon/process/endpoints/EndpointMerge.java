package org.sequoiahill.daemon.process.endpoints;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.EndpointState;
import org.sequoiahill.protocol.gen.Participant;

/**
 * Merges what several stores know about endpoints and daemons.
 *
 * <p>For one endpoint the latest start wins, and within one start the latest report. Once a start
 * is known to be leaving it stays so, even if a store that missed this reports it as ready. An
 * endpoint is gone if a store that knows only its id reports this. If several endpoints have the
 * same address, the one that started last wins.
 */
public final class EndpointMerge {
    private static final int MAX_LEAVING = 10_000;

    private final Map<Start, EndpointState> mLeavingStates =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Start, EndpointState> eldest) {
                    return size() > MAX_LEAVING;
                }
            };

    private record Start(String id, long startedAt) {}

    /** Returns the endpoints, including leaving ones. */
    public List<EndpointInfo> endpoints(Collection<FeedMirror> mirrors) {
        Map<String, EndpointInfo> byId = new HashMap<>();
        Set<String> goneIds = new HashSet<>();
        for (FeedMirror mirror : mirrors) {
            for (EndpointInfo endpoint : mirror.endpoints()) {
                recordLeaving(endpoint);
                byId.merge(endpoint.id(), endpoint, EndpointMerge::later);
            }
            mirror.goneIds().forEach(goneIds::add);
        }
        Map<HostPort, EndpointInfo> byAddress = new HashMap<>();
        for (EndpointInfo endpoint : byId.values()) {
            EndpointState state =
                    goneIds.contains(endpoint.id()) ? EndpointState.GONE : latestState(endpoint);
            EndpointInfo resolved =
                    state == endpoint.state() ? endpoint : endpoint.withState(state);
            byAddress.merge(resolved.address(), resolved, EndpointMerge::lastStarted);
        }
        return new ArrayList<>(byAddress.values());
    }

    /** Returns the daemons, each as last reported. */
    public static List<Participant> participants(Collection<FeedMirror> mirrors) {
        Map<String, Participant> byVm = new HashMap<>();
        for (FeedMirror mirror : mirrors) {
            for (Participant participant : mirror.participants()) {
                byVm.merge(participant.getVm(), participant, EndpointMerge::later);
            }
        }
        return new ArrayList<>(byVm.values());
    }

    private void recordLeaving(EndpointInfo endpoint) {
        if (!endpoint.isReady()) {
            mLeavingStates.merge(
                    new Start(endpoint.id(), endpoint.startedAt()),
                    endpoint.state(),
                    (a, b) -> a.getValue() >= b.getValue() ? a : b);
        }
    }

    private EndpointState latestState(EndpointInfo endpoint) {
        return mLeavingStates.getOrDefault(
                new Start(endpoint.id(), endpoint.startedAt()), endpoint.state());
    }

    private static EndpointInfo later(EndpointInfo a, EndpointInfo b) {
        if (a.startedAt() != b.startedAt()) {
            return a.startedAt() > b.startedAt() ? a : b;
        }
        return a.sequence() >= b.sequence() ? a : b;
    }

    private static EndpointInfo lastStarted(EndpointInfo a, EndpointInfo b) {
        return a.startedAt() >= b.startedAt() ? a : b;
    }

    private static Participant later(Participant a, Participant b) {
        if (a.getIncarnation() != b.getIncarnation()) {
            return a.getIncarnation() > b.getIncarnation() ? a : b;
        }
        return a.getRevision() >= b.getRevision() ? a : b;
    }
}
