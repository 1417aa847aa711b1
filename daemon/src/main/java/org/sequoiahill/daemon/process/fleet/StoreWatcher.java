package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sequoiahill.daemon.process.control.ControlClient;
import org.sequoiahill.daemon.process.control.ServiceStub;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.WatchReply;
import org.sequoiahill.protocol.gen.WatchRequest;
import org.tinylog.Logger;

/**
 * Keeps one long poll open at each store, so that changes arrive as they happen.
 *
 * <p>Polls the seeds until a store that follows a leader names the members. From then on it polls
 * the members, and also the seeds while no store replies. A store that is no longer one of these is
 * polled until it has not replied for {@link #DISCARD_AFTER}.
 */
public final class StoreWatcher {
    /** Duration of a long poll without changes; shorter than the client's read timeout. */
    public static final Duration LONG_POLL_TIME = Duration.ofMillis(900);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);
    private static final Duration DISCARD_AFTER = Duration.ofSeconds(12);

    /** Connection for announcements; the long poll occupies connection 0. */
    private static final int ANNOUNCE_LANE = 1;

    /** Connection for requests of a routing table during the long poll. */
    private static final int TABLE_LANE = 2;

    /** Maximum number of stores that are asked at once for an overdue routing table. */
    private static final int MAX_TABLE_STORES = 2;

    private final FleetView mView;
    private final ControlClient mClient;
    private final MonotonicClock mClock;
    private final ScheduledExecutorService mScheduler;
    private final Supplier<Participant> mSelf;
    private final Supplier<List<HostPort>> mSeeds;
    private final String mDataCentre;
    private final Map<HostPort, StorePoll> mPolls = new HashMap<>();

    private StoreWatcher(
            FleetView view,
            ControlClient client,
            MonotonicClock clock,
            ScheduledExecutorService scheduler,
            Supplier<Participant> self,
            Supplier<List<HostPort>> seeds,
            String dataCentre) {
        mView = view;
        mClient = client;
        mClock = clock;
        mScheduler = scheduler;
        mSelf = self;
        mSeeds = seeds;
        mDataCentre = dataCentre;
    }

    /**
     * Returns a watcher, not yet started.
     *
     * @param client client with a read timeout above {@link #LONG_POLL_TIME}
     * @param self current description of this daemon
     * @param seeds stores to poll first
     * @param dataCentre data centre of this VM, whose stores are asked first for the text of a
     *     routing table
     */
    public static StoreWatcher of(
            FleetView view,
            ControlClient client,
            MonotonicClock clock,
            ScheduledExecutorService scheduler,
            Supplier<Participant> self,
            Supplier<List<HostPort>> seeds,
            String dataCentre) {
        return new StoreWatcher(view, client, clock, scheduler, self, seeds, dataCentre);
    }

    /** Starts to watch. */
    public void start() {
        mScheduler.scheduleWithFixedDelay(
                this::updatePolls, 0, RETRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Sends the current description of this daemon to all watched stores. */
    public void announce() {
        Participant self = mSelf.get();
        Set<HostPort> stores;
        synchronized (this) {
            stores = Set.copyOf(mPolls.keySet());
        }
        for (HostPort store : stores) {
            mClient.call(store, ServiceStub.FLEET, ANNOUNCE_LANE, client -> client.announce(self))
                    .whenComplete(
                            (reply, failure) -> {
                                if (failure != null) {
                                    Logger.warn(
                                            "announcing this daemon to store {} failed: {}",
                                            store,
                                            failure.toString());
                                }
                            });
        }
    }

    /** State of the polling of one store. */
    private final class StorePoll {
        private final HostPort mStore;
        private boolean mIsPolling;
        private boolean mIsUnreachable;
        private boolean mHasReplied;
        private boolean mIsInSameDataCentre;
        private Duration mLastReplyAt = mClock.now();

        StorePoll(HostPort store) {
            mStore = store;
        }
    }

    private synchronized void updatePolls() {
        Set<HostPort> storesToWatch = storesToWatch();
        for (HostPort store : storesToWatch) {
            mPolls.computeIfAbsent(store, StorePoll::new);
        }
        mPolls.values().removeIf(poll -> discardIfUnreachable(poll, storesToWatch));
        mPolls.values().stream().filter(poll -> !poll.mIsPolling).forEach(this::poll);
        if (mView.isTableOverdue()) {
            requestTable();
        }
    }

    /**
     * Requests the routing table from the stores that replied most recently. A long poll that is
     * open at a store of another data centre may have been sent before the table was overdue, and
     * then does not ask for its text.
     */
    private void requestTable() {
        mPolls.values().stream()
                .filter(poll -> poll.mHasReplied && !poll.mIsUnreachable)
                .sorted(Comparator.comparing((StorePoll poll) -> poll.mLastReplyAt).reversed())
                .limit(MAX_TABLE_STORES)
                .forEach(
                        poll -> {
                            WatchRequest request = new WatchRequest().setWatcher(mSelf.get());
                            mView.prepare(request, poll.mStore, poll.mIsInSameDataCentre);
                            mClient.call(
                                            poll.mStore,
                                            ServiceStub.FLEET,
                                            TABLE_LANE,
                                            client -> client.watch(request))
                                    .whenComplete(
                                            (reply, failure) -> {
                                                if (failure == null) {
                                                    mView.applyState(reply);
                                                } else {
                                                    Logger.info(
                                                            "fetching the routing table from store"
                                                                    + " {} failed: {}",
                                                            poll.mStore,
                                                            failure.toString());
                                                }
                                            });
                        });
    }

    private Set<HostPort> storesToWatch() {
        Set<HostPort> storesToWatch = new LinkedHashSet<>(mView.stores());
        boolean isAnyReachable =
                mPolls.values().stream().anyMatch(poll -> poll.mHasReplied && !poll.mIsUnreachable);
        if (storesToWatch.isEmpty() || !isAnyReachable) {
            storesToWatch.addAll(mSeeds.get());
        }
        return storesToWatch;
    }

    /**
     * Discards the reports of an unreachable store that has not replied for {@link #DISCARD_AFTER};
     * returns whether to stop watching it.
     */
    private boolean discardIfUnreachable(StorePoll poll, Set<HostPort> storesToWatch) {
        boolean isDiscarded =
                poll.mIsUnreachable
                        && poll.mLastReplyAt.plus(DISCARD_AFTER).compareTo(mClock.now()) < 0;
        if (isDiscarded) {
            mView.removeStore(poll.mStore);
        }
        return isDiscarded && !storesToWatch.contains(poll.mStore);
    }

    private void poll(StorePoll poll) {
        poll.mIsPolling = true;
        WatchRequest request = new WatchRequest();
        request.setWatcher(mSelf.get());
        request.setWaitMillis(
                poll.mIsUnreachable || !poll.mHasReplied ? 0 : (int) LONG_POLL_TIME.toMillis());
        mView.prepare(request, poll.mStore, poll.mIsInSameDataCentre);
        mClient.call(poll.mStore, ServiceStub.FLEET, client -> client.watch(request))
                .whenComplete(
                        (reply, failure) -> {
                            if (failure == null) {
                                handleReply(poll, reply);
                            } else {
                                handleFailure(poll, failure);
                            }
                        });
    }

    private void handleReply(StorePoll poll, WatchReply reply) {
        try {
            mView.apply(poll.mStore, reply);
        } catch (RuntimeException e) {
            Logger.error(e, "a reply of store {} can't be applied", poll.mStore);
            handleFailure(poll, e);
            return;
        }
        synchronized (this) {
            if (poll.mIsUnreachable || !poll.mHasReplied) {
                Logger.info("store {} is reachable, current: {}", poll.mStore, reply.isCurrent());
            }
            poll.mIsUnreachable = false;
            poll.mHasReplied = true;
            poll.mIsInSameDataCentre = reply.getDataCentre().equals(mDataCentre);
            poll.mLastReplyAt = mClock.now();
            poll.mIsPolling = false;
            if (mPolls.get(poll.mStore) == poll) {
                poll(poll);
            }
        }
    }

    private synchronized void handleFailure(StorePoll poll, Throwable failure) {
        if (!poll.mIsUnreachable) {
            Throwable cause =
                    failure instanceof CompletionException && failure.getCause() != null
                            ? failure.getCause()
                            : failure;
            Logger.warn("store {} is unreachable: {}", poll.mStore, cause.toString());
        }
        poll.mIsUnreachable = true;
        poll.mIsPolling = false;
    }
}
