package org.sequoiahill.daemon.version.fetch;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.controller.OriginBudget;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.OriginLeaseReply;
import org.sequoiahill.protocol.gen.OriginLeaseRequest;

/**
 * Requests leases from one store after the other until one decides or, if none does, from the data
 * centre's own share of the budget.
 */
public final class StoreLeaseClient implements OriginLeaseClient {
    private final Identity mIdentity;
    private final ControlClient mControl;
    private final List<PeerVm> mStores;
    private final OriginBudget mDataCentreShare;
    private final IntSupplier mAgents;
    private final MonotonicClock mClock;

    private StoreLeaseClient(
            Identity identity,
            ControlClient control,
            List<PeerVm> stores,
            OriginBudget dataCentreShare,
            IntSupplier agents,
            MonotonicClock clock) {
        mIdentity = identity;
        mControl = control;
        mStores = stores;
        mDataCentreShare = dataCentreShare;
        mAgents = agents;
        mClock = clock;
    }

    /**
     * Returns a client.
     *
     * @param dataCentreShare budget that includes this data centre's share
     * @param agents number of agents in the data centre, among which the share is divided
     */
    public static StoreLeaseClient of(
            Identity identity,
            ControlClient control,
            List<PeerVm> stores,
            OriginBudget dataCentreShare,
            IntSupplier agents,
            MonotonicClock clock) {
        return new StoreLeaseClient(identity, control, stores, dataCentreShare, agents, clock);
    }

    @Override
    public CompletableFuture<Integer> request(String version, int versionChunks, int chunks) {
        OriginLeaseRequest request =
                new OriginLeaseRequest(mIdentity.sender(), version, versionChunks, chunks);
        CompletableFuture<Integer> granted = CompletableFuture.completedFuture(-1);
        for (PeerVm store : mStores) {
            granted =
                    granted.thenCompose(
                            chunksGranted ->
                                    chunksGranted >= 0
                                            ? CompletableFuture.completedFuture(chunksGranted)
                                            : requestFrom(store, request));
        }
        return granted.thenApply(
                chunksGranted ->
                        chunksGranted >= 0
                                ? chunksGranted
                                : requestDataCentreShare(version, versionChunks, chunks));
    }

    private CompletableFuture<Integer> requestFrom(PeerVm store, OriginLeaseRequest request) {
        return mControl.call(
                        store.control(), ServiceStub.TURNS, client -> client.leaseOrigin(request))
                .thenApply(OriginLeaseReply::getChunks)
                .exceptionally(failure -> -1);
    }

    private synchronized int requestDataCentreShare(String version, int versionChunks, int chunks) {
        return mDataCentreShare.grantWithoutLeader(
                version, versionChunks, mAgents.getAsInt(), chunks, mClock.now());
    }
}
