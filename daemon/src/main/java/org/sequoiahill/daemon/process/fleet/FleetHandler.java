package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.thrift.TException;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.endpoints.EndpointRegistry;
import org.sequoiahill.protocol.gen.ChangeOutcome;
import org.sequoiahill.protocol.gen.ChangeReply;
import org.sequoiahill.protocol.gen.ChangeRequest;
import org.sequoiahill.protocol.gen.ContentReply;
import org.sequoiahill.protocol.gen.ContentRequest;
import org.sequoiahill.protocol.gen.Fleet;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.RelayReply;
import org.sequoiahill.protocol.gen.ReportRelay;
import org.sequoiahill.protocol.gen.WatchReply;
import org.sequoiahill.protocol.gen.WatchRequest;

/**
 * Serves a store's fleet service: long polls and announcements of daemons, reports relayed by other
 * stores, and the operations that the leader executes.
 */
public final class FleetHandler implements Fleet.Iface {
    private static final Duration MAX_WAIT = Duration.ofSeconds(5);

    private final Identity mIdentity;
    private final FleetStore mStore;
    private final EndpointRegistry mRegistry;
    private final PublicationTimes mPublicationTimes;

    private FleetHandler(
            Identity identity,
            FleetStore store,
            EndpointRegistry registry,
            PublicationTimes publicationTimes) {
        mIdentity = identity;
        mStore = store;
        mRegistry = registry;
        mPublicationTimes = publicationTimes;
    }

    /**
     * Returns the handler for one store.
     *
     * @param publicationTimes times at which the store applied the publications of versions
     */
    public static FleetHandler of(
            Identity identity,
            FleetStore store,
            EndpointRegistry registry,
            PublicationTimes publicationTimes) {
        return new FleetHandler(identity, store, registry, publicationTimes);
    }

    @Override
    public WatchReply watch(WatchRequest request) {
        mRegistry.recordParticipant(request.getWatcher());
        Duration wait = Duration.ofMillis(Math.max(0, request.getWaitMillis()));
        BooleanSupplier hasContent =
                () -> {
                    FleetState state = mStore.appliedState();
                    return state.index() > request.getIndex() || isRoutingWanted(request, state);
                };
        WatchReply reply = new WatchReply().setItems(new ArrayList<>());
        mRegistry.await(
                reply,
                request.getFeed(),
                request.getChange(),
                wait.compareTo(MAX_WAIT) > 0 ? MAX_WAIT : wait,
                hasContent);
        // The state is read after this check, so it is at least as recent as the reply claims.
        reply.setCurrent(mStore.isCurrent());
        if (hasContent.getAsBoolean()) {
            FleetState state = mStore.appliedState();
            reply.setContent(state.toThrift(isRoutingWanted(request, state)));
        }
        // The state becomes visible before the store has recorded its versions.
        mPublicationTimes.record(mStore.appliedState(), Duration.ZERO);
        reply.setVersionAges(mPublicationTimes.ages());
        reply.setStores(mStore.addresses());
        reply.setDataCentre(mIdentity.dataCentre());
        return reply;
    }

    @Override
    public ChangeReply change(ChangeRequest request) throws TException {
        return FleetStore.await(
                mStore.changeAsLeader(request.getChange()),
                new ChangeReply(
                        mIdentity.sender(),
                        ChangeOutcome.UNAVAILABLE,
                        "the commit did not complete in time"));
    }

    @Override
    public ContentReply content(ContentRequest request) throws TException {
        Optional<FleetState> latest =
                FleetStore.await(mStore.latestStateAsLeader(), Optional.<FleetState>empty());
        ContentReply reply = new ContentReply().setSender(mIdentity.sender());
        latest.ifPresent(state -> reply.setContent(state.toThrift(true)));
        return reply;
    }

    @Override
    public RelayReply relay(ReportRelay relay) {
        mRegistry.report(relay.getReport());
        return new RelayReply(mIdentity.sender());
    }

    @Override
    public RelayReply announce(Participant participant) {
        mRegistry.recordParticipant(participant);
        return new RelayReply(mIdentity.sender());
    }

    private static boolean isRoutingWanted(WatchRequest request, FleetState state) {
        return request.isWantsRouting() && state.routingNumber() > request.getRoutingNumber();
    }
}
