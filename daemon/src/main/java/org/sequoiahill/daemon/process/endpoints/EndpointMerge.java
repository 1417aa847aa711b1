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
 * Makes one picture of what several stores have heard.
 *
 * <p>Of one endpoint the latest start counts, and of one start the latest report, but once a start
 * is known to leave it stays so, whatever a store that missed it says. Of several endpoints at one
 * address the one that started last is there.
 */
public final class EndpointMerge {
    private static final int MAX_LEFT = 10_000;

    private final Map<Start, EndpointState> mLeft =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Start, EndpointState> eldest) {
                    return size() > MAX_LEFT;
                }
            };

    private record Start(String id, long startedAt) {}

    /** Returns the endpoints, leaving ones among them. */
    public List<EndpointInfo> endpoints(Collection<FeedMirror> mirrors) {
        Map<String, EndpointInfo> byId = new HashMap<>();
        Set<String> goneIds = new HashSet<>();
        for (FeedMirror mirror : mirrors) {
            for (EndpointInfo endpoint : mirror.endpoints()) {
                noteLeaving(endpoint);
                byId.merge(endpoint.id(), endpoint, EndpointMerge::later);
            }
            mirror.goneIds().forEach(goneIds::add);
        }
        Map<HostPort, EndpointInfo> byAddress = new HashMap<>();
        for (EndpointInfo endpoint : byId.values()) {
            EndpointState state =
                    goneIds.contains(endpoint.id()) ? EndpointState.GONE : known(endpoint);
            EndpointInfo settled = state == endpoint.state() ? endpoint : endpoint.withState(state);
            byAddress.merge(settled.address(), settled, EndpointMerge::lastStarted);
        }
        return new ArrayList<>(byAddress.values());
    }

    /** Returns the daemons, each as it was last heard of. */
    public static List<Participant> participants(Collection<FeedMirror> mirrors) {
        Map<String, Participant> byVm = new HashMap<>();
        for (FeedMirror mirror : mirrors) {
            for (Participant participant : mirror.participants()) {
                byVm.merge(participant.getVm(), participant, EndpointMerge::later);
            }
        }
        return new ArrayList<>(byVm.values());
    }

    private void noteLeaving(EndpointInfo endpoint) {
        if (!endpoint.isReady()) {
            mLeft.merge(
                    new Start(endpoint.id(), endpoint.startedAt()),
                    endpoint.state(),
                    (a, b) -> a.getValue() >= b.getValue() ? a : b);
        }
    }

    private EndpointState known(EndpointInfo endpoint) {
        return mLeft.getOrDefault(new Start(endpoint.id(), endpoint.startedAt()), endpoint.state());
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
