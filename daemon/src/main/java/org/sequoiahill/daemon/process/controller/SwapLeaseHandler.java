package org.sequoiahill.daemon.process.controller;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.log.ReplicatedLog;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.OriginLeaseReply;
import org.sequoiahill.protocol.gen.OriginLeaseRequest;
import org.sequoiahill.protocol.gen.Sender;
import org.sequoiahill.protocol.gen.TurnReply;
import org.sequoiahill.protocol.gen.TurnRequest;
import org.sequoiahill.protocol.gen.Turns;

/**
 * Grants leases for swapping versions and for downloads from the origin, if its process leads the
 * log.
 */
public final class SwapLeaseHandler implements Turns.Iface {
    /** Time after which a swap lease expires unless it is renewed. */
    public static final Duration LEASE = Duration.ofSeconds(10);

    private static final int TERM_SHIFT_BITS = 32;

    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final ReplicatedLog mLog;
    private final ControlClient mClient;
    private final List<PeerVm> mStores;
    private final MonotonicClock mClock;
    private final SwapLeaseTable mLeases = SwapLeaseTable.of(LEASE);
    private final OriginBudget mBudget;

    private SwapLeaseHandler(
            Identity identity,
            ConfigurationView view,
            ReplicatedLog log,
            ControlClient client,
            List<PeerVm> stores,
            OriginBudget budget,
            MonotonicClock clock) {
        mIdentity = identity;
        mView = view;
        mLog = log;
        mClient = client;
        mStores = stores;
        mBudget = budget;
        mClock = clock;
    }

    /**
     * Returns a handler that decides if its process leads the log, and forwards to the leader
     * otherwise.
     */
    public static SwapLeaseHandler of(
            Identity identity,
            ConfigurationView view,
            ReplicatedLog log,
            ControlClient client,
            List<PeerVm> stores,
            OriginBudget budget,
            MonotonicClock clock) {
        return new SwapLeaseHandler(identity, view, log, client, stores, budget, clock);
    }

    @Override
    public TurnReply request(TurnRequest request) {
        if (mLog.isLeader()) {
            return decide(request);
        }
        Optional<PeerVm> leader = leader();
        if (leader.isEmpty()) {
            return refusal("no leader is known");
        }
        try {
            return mClient.call(
                            leader.get().control(),
                            ServiceStub.TURNS,
                            client -> client.request(request))
                    .join();
        } catch (CompletionException e) {
            return refusal("the leader can't be reached: " + e.getCause());
        }
    }

    @Override
    public OriginLeaseReply leaseOrigin(OriginLeaseRequest request) {
        if (mLog.isLeader()) {
            return grantDownloads(request);
        }
        return leader().map(leader -> forward(leader, request)).orElseGet(this::undecided);
    }

    private Optional<PeerVm> leader() {
        return mStores.stream()
                .filter(store -> !store.vm().equals(mIdentity.vm()))
                .filter(store -> mLog.leaderVm().filter(store.vm()::equals).isPresent())
                .findFirst();
    }

    private synchronized OriginLeaseReply grantDownloads(OriginLeaseRequest request) {
        int granted =
                mBudget.grant(
                        request.getVersionDigest(),
                        request.getVersionChunks(),
                        request.getChunks(),
                        mClock.now());
        return new OriginLeaseReply(mIdentity.sender(), granted);
    }

    private OriginLeaseReply forward(PeerVm leader, OriginLeaseRequest request) {
        try {
            return mClient.call(
                            leader.control(),
                            ServiceStub.TURNS,
                            client -> client.leaseOrigin(request))
                    .join();
        } catch (CompletionException e) {
            return undecided();
        }
    }

    /**
     * Returns a reply without a decision, since no leader was reached: a negative number of chunks.
     */
    private OriginLeaseReply undecided() {
        return new OriginLeaseReply(mIdentity.sender(), -1);
    }

    private synchronized TurnReply decide(TurnRequest request) {
        Sender sender = request.getSender();
        SwapLeaseTable.LeaseRequest leaseRequest =
                new SwapLeaseTable.LeaseRequest(
                        request.getServiceName(),
                        sender.getDataCentre(),
                        sender.getVm(),
                        request.getVersionDigest(),
                        request.getServing(),
                        request.isIdle());
        if (request.isFinished()) {
            mLeases.release(leaseRequest);
            return refusal("given back");
        }
        long term = mLog.term();
        long revision = mView.current().revision();
        SwapLeaseTable.Verdict verdict =
                mLeases.decide(
                        leaseRequest,
                        mView.current().service(request.getServiceName()),
                        term,
                        mClock.now());
        if (verdict != SwapLeaseTable.Verdict.GRANTED) {
            return refusal(verdict.name());
        }
        long fence = (term << TERM_SHIFT_BITS) | revision;
        return new TurnReply(mIdentity.sender(), true, fence, LEASE.toMillis());
    }

    private TurnReply refusal(String reason) {
        return new TurnReply(mIdentity.sender(), false, 0, 0).setReason(reason);
    }
}
