package org.sequoiahill.daemon.process.controller;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.log.ReplicatedLog;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.document.ServiceDocument;
import org.sequoiahill.protocol.gen.TurnReply;
import org.sequoiahill.protocol.gen.TurnRequest;
import org.sequoiahill.protocol.gen.Turns;

/** Grants turns to swap versions, so that enough endpoints go on serving. */
public final class TurnHandler implements Turns.Iface {
    private static final Duration LEASE = Duration.ofSeconds(30);
    private static final int TERM_SHIFT_BITS = 32;

    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final ReplicatedLog mLog;
    private final ControlClient mClient;
    private final List<PeerVm> mStores;
    private final MonotonicClock mClock;
    private final Map<TurnKey, Map<String, Duration>> mHolders = new HashMap<>();

    private TurnHandler(
            Identity identity,
            ConfigurationView view,
            ReplicatedLog log,
            ControlClient client,
            List<PeerVm> stores,
            MonotonicClock clock) {
        mIdentity = identity;
        mView = view;
        mLog = log;
        mClient = client;
        mStores = stores;
        mClock = clock;
    }

    /** Returns a handler that grants turns while its process leads the log. */
    public static TurnHandler of(
            Identity identity,
            ConfigurationView view,
            ReplicatedLog log,
            ControlClient client,
            List<PeerVm> stores,
            MonotonicClock clock) {
        return new TurnHandler(identity, view, log, client, stores, clock);
    }

    @Override
    public TurnReply request(TurnRequest request) {
        if (!mLog.isLeader()) {
            return forward(request);
        }
        return decide(request);
    }

    private TurnReply forward(TurnRequest request) {
        Optional<PeerVm> leader =
                mStores.stream()
                        .filter(store -> mLog.leaderVm().filter(store.vm()::equals).isPresent())
                        .findFirst();
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

    private synchronized TurnReply decide(TurnRequest request) {
        String vm = request.getSender().getVm();
        TurnKey key = new TurnKey(request.getServiceName(), request.getSender().getDataCentre());
        Map<String, Duration> holders = mHolders.computeIfAbsent(key, k -> new HashMap<>());
        Duration now = mClock.now();
        holders.values().removeIf(expiry -> expiry.compareTo(now) <= 0);
        if (request.isFinished()) {
            holders.remove(vm);
            return refusal("given back");
        }
        Optional<ServiceDocument> document = mView.current().service(request.getServiceName());
        if (document.isEmpty()) {
            return refusal("the service is not known");
        }
        if (!holders.containsKey(vm)
                && holders.size() >= document.get().rollout().maxUnavailable()) {
            return refusal("others have their turn");
        }
        holders.put(vm, now.plus(LEASE));
        long fence = (mLog.term() << TERM_SHIFT_BITS) | mView.current().revision();
        return new TurnReply(mIdentity.sender(), true, fence, LEASE.toMillis());
    }

    private TurnReply refusal(String reason) {
        return new TurnReply(mIdentity.sender(), false, 0, 0).setReason(reason);
    }

    private record TurnKey(String service, String dataCentre) {}
}
