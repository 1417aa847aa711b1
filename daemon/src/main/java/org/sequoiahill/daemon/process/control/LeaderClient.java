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
 * Calls the leader of a group of the log from any process, and follows the stores' hints to it.
 *
 * <p>A call may reach the leader more than once, so it must be idempotent.
 */
public final class LeaderClient {
    private static final Duration SEARCH_BOUND = Duration.ofSeconds(4);
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

    /** Returns a client that knows no leader yet. */
    public static LeaderClient of(ControlClient client, List<PeerVm> stores) {
        return new LeaderClient(client, List.copyOf(stores));
    }

    /**
     * What a reply says of the leader.
     *
     * @param isAnswer whether the reply is the leader's
     * @param leader VM that leads, where the reply is not the leader's and its sender knows
     */
    public record LeaderHint(boolean isFromLeader, Optional<String> leader) {}

    /**
     * Calls the leader.
     *
     * <p>Fails with {@link IllegalStateException} where no store answers as the leader, and with
     * {@link java.util.concurrent.TimeoutException} after four seconds.
     *
     * @param directionOf reads what a reply says of the leader
     */
    public <C extends TServiceClient, R> CompletableFuture<R> call(
            ServiceStub<C> stub, ThriftCall<C, R> call, Function<R, LeaderHint> directionOf) {
        LeaderSearch search = LeaderSearch.over(mVms, mLeader);
        int lane = Math.floorMod(mNextLane.getAndIncrement(), LANES);
        return ask(search, new Question<>(stub, call, directionOf, lane))
                .orTimeout(SEARCH_BOUND.toMillis(), TimeUnit.MILLISECONDS);
    }

    private record Question<C extends TServiceClient, R>(
            ServiceStub<C> stub,
            ThriftCall<C, R> call,
            Function<R, LeaderHint> directionOf,
            int lane) {}

    private <C extends TServiceClient, R> CompletableFuture<R> ask(
            LeaderSearch search, Question<C, R> question) {
        Optional<PeerVm> store = search.next().flatMap(this::storeOf);
        if (store.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("no majority of the stores can be reached"));
        }
        PeerVm asked = store.get();
        return mClient.call(asked.control(), question.stub(), question.lane(), question.call())
                .handle((reply, failure) -> take(search, question, asked, reply, failure))
                .thenCompose(result -> result);
    }

    private <C extends TServiceClient, R> CompletableFuture<R> take(
            LeaderSearch search,
            Question<C, R> question,
            PeerVm asked,
            R reply,
            Throwable failure) {
        if (failure != null) {
            Logger.debug("store {} failed: {}", asked.vm(), failure);
            forget(asked.vm());
            return ask(search, question);
        }
        LeaderHint direction = question.directionOf().apply(reply);
        if (direction.isFromLeader()) {
            mLeader = Optional.of(asked.vm());
            return CompletableFuture.completedFuture(reply);
        }
        forget(asked.vm());
        search.onHint(direction.leader());
        return ask(search, question);
    }

    private void forget(String vm) {
        mLeader = mLeader.filter(held -> !held.equals(vm));
    }

    private Optional<PeerVm> storeOf(String vm) {
        return mStores.stream().filter(store -> store.vm().equals(vm)).findFirst();
    }
}
