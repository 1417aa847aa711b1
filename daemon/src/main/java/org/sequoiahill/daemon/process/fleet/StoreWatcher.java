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
 * Keeps one waiting call open at each store, so that changes arrive as they happen.
 *
 * <p>The stores are those of the seeds until a store that follows a leader names the members; from
 * then on the members, and the seeds again only while none of them answers.
 */
public final class StoreWatcher {
    /** Wait of a call without news; shorter than the client's read timeout. */
    public static final Duration WAIT = Duration.ofMillis(900);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);
    private static final Duration FORGET_AFTER = Duration.ofSeconds(12);
    private static final int ANNOUNCE_LANE = 1;
    private static final int TABLE_LANE = 2;

    /** Stores that are asked for a routing table that the nearest one has not sent. */
    private static final int TABLE_STORES = 2;

    private final FleetView mView;
    private final ControlClient mClient;
    private final MonotonicClock mClock;
    private final ScheduledExecutorService mScheduler;
    private final Supplier<Participant> mSelf;
    private final Supplier<List<HostPort>> mSeeds;
    private final String mDataCentre;
    private final Map<HostPort, Watch> mWatches = new HashMap<>();

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
     * @param client client with a read timeout above {@link #WAIT}
     * @param self what this daemon says of itself
     * @param seeds stores to ask first
     * @param dataCentre data centre of this VM; its store sends the texts of routing tables
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
                this::adjust, 0, RETRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Tells all stores what this daemon says of itself now. */
    public void announce() {
        Participant self = mSelf.get();
        Set<HostPort> stores;
        synchronized (this) {
            stores = Set.copyOf(mWatches.keySet());
        }
        for (HostPort store : stores) {
            mClient.call(store, ServiceStub.FLEET, ANNOUNCE_LANE, client -> client.announce(self))
                    .whenComplete(
                            (reply, failure) -> {
                                if (failure != null) {
                                    Logger.warn("{} was not told: {}", store, failure.toString());
                                }
                            });
        }
    }

    /** One store that is watched. */
    private final class Watch {
        private final HostPort mStore;
        private boolean mIsCalling;
        private boolean mIsLost;
        private boolean mHasAnswered;
        private boolean mIsNearest;
        private Duration mAnsweredAt = mClock.now();

        Watch(HostPort store) {
            mStore = store;
        }
    }

    private synchronized void adjust() {
        Set<HostPort> wanted = wanted();
        for (HostPort store : wanted) {
            mWatches.computeIfAbsent(store, Watch::new);
        }
        mWatches.values().removeIf(watch -> isOver(watch, wanted));
        mWatches.values().stream().filter(watch -> !watch.mIsCalling).forEach(this::call);
        if (mView.isTableLate()) {
            askForTable();
        }
    }

    /**
     * Asks the stores that answered last for the routing table; the calls that wait at them were
     * made before the table was missed, and end only when something else changes.
     */
    private void askForTable() {
        mWatches.values().stream()
                .filter(watch -> watch.mHasAnswered && !watch.mIsLost)
                .sorted(Comparator.comparing((Watch watch) -> watch.mAnsweredAt).reversed())
                .limit(TABLE_STORES)
                .forEach(
                        watch -> {
                            WatchRequest request = new WatchRequest().setWatcher(mSelf.get());
                            mView.prepare(request, watch.mStore, watch.mIsNearest);
                            mClient.call(
                                            watch.mStore,
                                            ServiceStub.FLEET,
                                            TABLE_LANE,
                                            client -> client.watch(request))
                                    .whenComplete(
                                            (reply, failure) -> {
                                                if (failure == null) {
                                                    mView.takeState(reply);
                                                } else {
                                                    Logger.info(
                                                            "{} gave no routing table: {}",
                                                            watch.mStore,
                                                            failure.toString());
                                                }
                                            });
                        });
    }

    private Set<HostPort> wanted() {
        Set<HostPort> wanted = new LinkedHashSet<>(mView.stores());
        boolean isAnyAnswering =
                mWatches.values().stream().anyMatch(watch -> watch.mHasAnswered && !watch.mIsLost);
        if (wanted.isEmpty() || !isAnyAnswering) {
            wanted.addAll(mSeeds.get());
        }
        return wanted;
    }

    private boolean isOver(Watch watch, Set<HostPort> wanted) {
        boolean isForgotten =
                watch.mIsLost && watch.mAnsweredAt.plus(FORGET_AFTER).compareTo(mClock.now()) < 0;
        if (isForgotten) {
            mView.forget(watch.mStore);
        }
        return isForgotten && !wanted.contains(watch.mStore);
    }

    private void call(Watch watch) {
        watch.mIsCalling = true;
        WatchRequest request = new WatchRequest();
        request.setWatcher(mSelf.get());
        request.setWaitMillis(watch.mIsLost || !watch.mHasAnswered ? 0 : (int) WAIT.toMillis());
        mView.prepare(request, watch.mStore, watch.mIsNearest);
        mClient.call(watch.mStore, ServiceStub.FLEET, client -> client.watch(request))
                .whenComplete(
                        (reply, failure) -> {
                            if (failure == null) {
                                answered(watch, reply);
                            } else {
                                lost(watch, failure);
                            }
                        });
    }

    private void answered(Watch watch, WatchReply reply) {
        mView.take(watch.mStore, reply);
        synchronized (this) {
            if (watch.mIsLost || !watch.mHasAnswered) {
                Logger.info("store {} answers, current: {}", watch.mStore, reply.isCurrent());
            }
            watch.mIsLost = false;
            watch.mHasAnswered = true;
            watch.mIsNearest = reply.getDataCentre().equals(mDataCentre);
            watch.mAnsweredAt = mClock.now();
            watch.mIsCalling = false;
            if (mWatches.get(watch.mStore) == watch) {
                call(watch);
            }
        }
    }

    private synchronized void lost(Watch watch, Throwable failure) {
        if (!watch.mIsLost) {
            Throwable cause =
                    failure instanceof CompletionException && failure.getCause() != null
                            ? failure.getCause()
                            : failure;
            Logger.warn("store {} is lost: {}", watch.mStore, cause.toString());
        }
        watch.mIsLost = true;
        watch.mIsCalling = false;
    }
}
