package org.sequoiahill.daemon.process.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.apache.thrift.TServiceClient;
import org.sequoiahill.daemon.process.control.ControlClient.ThriftCall;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.tinylog.Logger;

/**
 * Calls the leader of a replicated log from any process, and follows the stores' hints to find it.
 *
 * <p>A call may reach the leader more than once, so it must be idempotent.
 */
public final class LeaderClient {
    private static final Duration SEARCH_TIMEOUT = Duration.ofSeconds(4);

    /** Connections per store and service; calls on one of them run one after another. */
    private static final int LANES = 8;

    private final ControlClient mClient;
    private final List<PeerVm> mStores;
    private final List<String> mVms;
    private volatile Optional<String> mLeader = Optional.empty();
    private final AtomicInteger mNextLane = new AtomicInteger();

    private LeaderClient(ControlClient client, List<PeerVm> stores) {
        mClient = client;
        mStores = stores;
        mVms = stores.stream().map(PeerVm::vm).toList();
    }

    /** Returns a client that does not know the leader yet. */
    public static LeaderClient of(ControlClient client, List<PeerVm> stores) {
        return new LeaderClient(client, List.copyOf(stores));
    }

    /**
     * What a reply reveals about the leader.
     *
     * @param isFromLeader whether the leader sent the reply
     * @param leader VM of the leader, if another store sent the reply and knows the leader
     */
    public record LeaderHint(boolean isFromLeader, Optional<String> leader) {}

    /**
     * Calls the leader.
     *
     * <p>Fails with {@link IllegalStateException} if no store replies as the leader, and with
     * {@link java.util.concurrent.TimeoutException} after four seconds.
     *
     * @param hintOf extracts from a reply what it reveals about the leader
     */
    public <C extends TServiceClient, R> CompletableFuture<R> call(
            ServiceStub<C> stub, ThriftCall<C, R> call, Function<R, LeaderHint> hintOf) {
        LeaderSearch search = LeaderSearch.over(mVms, mLeader);
        int lane = Math.floorMod(mNextLane.getAndIncrement(), LANES);
        return callNext(search, new PendingCall<>(stub, call, hintOf, lane))
                .orTimeout(SEARCH_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private record PendingCall<C extends TServiceClient, R>(
            ServiceStub<C> stub, ThriftCall<C, R> call, Function<R, LeaderHint> hintOf, int lane) {}

    private <C extends TServiceClient, R> CompletableFuture<R> callNext(
            LeaderSearch search, PendingCall<C, R> pendingCall) {
        Optional<PeerVm> store = search.next().flatMap(this::storeOf);
        if (store.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("no majority of the stores can be reached"));
        }
        PeerVm calledStore = store.get();
        return mClient.call(
                        calledStore.control(),
                        pendingCall.stub(),
                        pendingCall.lane(),
                        pendingCall.call())
                .handle(
                        (reply, failure) ->
                                handleReply(search, pendingCall, calledStore, reply, failure))
                .thenCompose(result -> result);
    }

    private <C extends TServiceClient, R> CompletableFuture<R> handleReply(
            LeaderSearch search,
            PendingCall<C, R> pendingCall,
            PeerVm calledStore,
            R reply,
            Throwable failure) {
        if (failure != null) {
            Logger.debug("call to store {} failed: {}", calledStore.vm(), failure);
            forgetLeader(calledStore.vm());
            return callNext(search, pendingCall);
        }
        LeaderHint hint = pendingCall.hintOf().apply(reply);
        if (hint.isFromLeader()) {
            mLeader = Optional.of(calledStore.vm());
            return CompletableFuture.completedFuture(reply);
        }
        forgetLeader(calledStore.vm());
        search.onHint(hint.leader());
        return callNext(search, pendingCall);
    }

    private void forgetLeader(String vm) {
        mLeader = mLeader.filter(leader -> !leader.equals(vm));
    }

    private Optional<PeerVm> storeOf(String vm) {
        return mStores.stream().filter(store -> store.vm().equals(vm)).findFirst();
    }
}
