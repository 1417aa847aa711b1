package org.sequoiahill.daemon.process.endpoints;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.protocol.gen.EndpointReport;
import org.sequoiahill.protocol.gen.EndpointState;
import org.sequoiahill.protocol.gen.Participant;

/**
 * Merges what several stores know about endpoints and daemons.
 *
 * <p>For one endpoint the latest start wins, and within one start the latest report. Once a start
 * is known to be leaving it stays so, even if a store that missed this reports it as ready; an
 * unknown start, only while a store holds it as leaving. A store that does not know an endpoint may
 * hold the start up to which it has gone: no start up to that one is used meanwhile. If several
 * endpoints have the same address, the one that started last wins.
 */
public final class EndpointMerge {
    private final LeavingStarts mLeaving = new LeavingStarts();

    /** Returns the endpoints, including leaving ones. */
    public List<EndpointInfo> endpoints(Collection<FeedMirror> mirrors) {
        Map<String, EndpointInfo> byId = new HashMap<>();
        Map<String, Long> goneUpTo = new HashMap<>();
        for (FeedMirror mirror : mirrors) {
            for (EndpointInfo endpoint : mirror.endpoints()) {
                mLeaving.record(endpoint.id(), endpoint.startedAt(), endpoint.state());
                byId.merge(endpoint.id(), endpoint, EndpointMerge::later);
            }
            for (EndpointReport gone : mirror.gone()) {
                mLeaving.record(gone.getId(), gone.getStartedAt(), EndpointState.GONE);
                goneUpTo.merge(gone.getId(), lastStart(gone), Math::max);
            }
        }
        Map<HostPort, EndpointInfo> byAddress = new HashMap<>();
        for (EndpointInfo endpoint : byId.values()) {
            boolean isGone = endpoint.startedAt() <= goneUpTo.getOrDefault(endpoint.id(), -1L);
            EndpointState state =
                    isGone
                            ? EndpointState.GONE
                            : mLeaving.latest(
                                    endpoint.id(), endpoint.startedAt(), endpoint.state());
            byAddress.merge(
                    endpoint.address(), endpoint.withState(state), EndpointMerge::lastStarted);
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

    /**
     * Returns the last start that a report without an address ends; stores of older releases name
     * none.
     */
    private static long lastStart(EndpointReport gone) {
        return gone.getStartedAt() > 0 ? gone.getStartedAt() : Long.MAX_VALUE;
    }

    private static EndpointInfo later(EndpointInfo a, EndpointInfo b) {
        if (a.startedAt() != b.startedAt()) {
            return a.startedAt() > b.startedAt() ? a : b;
        }
        EndpointInfo latest = a.sequence() >= b.sequence() ? a : b;
        return latest.withState(LeavingStarts.latest(a.state(), b.state()));
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
