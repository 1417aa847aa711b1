package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.endpoints.EndpointMerge;
import org.sequoiahill.daemon.process.endpoints.FeedMirror;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.DelayedExecutor;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.protocol.gen.FleetContent;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.WatchReply;
import org.sequoiahill.protocol.gen.WatchRequest;
import org.sequoiahill.protocol.json.Checked;
import org.tinylog.Logger;

/**
 * Makes one picture of the fleet from what all stores say, and keeps the newest of it.
 *
 * <p>What single daemons and endpoints say of themselves is collected for a moment before a new
 * picture is made of it: every store tells each change, and a picture of hundreds of VMs is made
 * from all that all of them have told. What the stores agree on is in the picture at once.
 *
 * <p>Neither the state nor the routing table ever goes back, whichever store answers.
 */
public final class FleetView {
    /** Time after which the text of a table is asked from any store, not just the nearest. */
    private static final Duration NEAREST_PATIENCE = Duration.ofMillis(400);

    /** Time for which changes are collected, for each daemon and endpoint; bounds the pictures. */
    private static final Duration COLLECT_PER_MEMBER = Duration.ofNanos(200_000);

    private static final Duration MAX_COLLECT = Duration.ofMillis(100);

    /** Age of a first state that counts as known for long, so that its bounds are over. */
    private static final Duration LONG_AGO = Duration.ofDays(1);

    private final MonotonicClock mClock;
    private final RoutingTableFormat mFormat;
    private final DelayedExecutor mRunner;
    private final List<Consumer<FleetPicture>> mListeners = new CopyOnWriteArrayList<>();
    private final Map<HostPort, FeedMirror> mMirrors = new HashMap<>();
    private final EndpointMerge mMerge = new EndpointMerge();
    private final Map<String, VersionHistory> mVersions = new HashMap<>();
    private final StoreContact mContact = new StoreContact();
    private Set<HostPort> mStores = new LinkedHashSet<>();
    private Duration mTableMissingSince = Duration.ZERO;
    private long mNewestNumber;
    private int mMembers;
    private boolean mIsRebuildDue;
    private volatile FleetPicture mPicture = FleetPicture.EMPTY;

    private FleetView(MonotonicClock clock, RoutingTableFormat format, DelayedExecutor runner) {
        mClock = clock;
        mFormat = format;
        mRunner = runner;
    }

    /** Returns a view that knows nothing yet. */
    public static FleetView of(
            MonotonicClock clock, RoutingTableFormat format, DelayedExecutor runner) {
        return new FleetView(clock, format, runner);
    }

    /** Returns what is known now. */
    public FleetPicture picture() {
        return mPicture;
    }

    /** Tells each later picture to a listener, on the thread that made it. */
    public void addListener(Consumer<FleetPicture> listener) {
        mListeners.add(listener);
    }

    /** Returns the stores that a current store has named last. */
    public synchronized Set<HostPort> stores() {
        return Set.copyOf(mStores);
    }

    /**
     * Returns since when this daemon has been in contact with a majority of the stores without a
     * break; empty while it is not.
     */
    public synchronized Optional<Duration> inContactSince() {
        return mContact.since(mClock.now());
    }

    /**
     * Fills a request to a store with what is known.
     *
     * @param isNearest whether the store is in this data centre
     */
    public synchronized void prepare(WatchRequest request, HostPort store, boolean isNearest) {
        FeedMirror mirror = mMirrors.computeIfAbsent(store, address -> new FeedMirror());
        FleetState state = mPicture.state();
        request.setFeed(mirror.feed());
        request.setChange(mirror.change());
        request.setIndex(state.index());
        request.setRoutingNumber(state.routingNumber());
        request.setWantsRouting(isNearest || isTableLate());
    }

    /**
     * Returns whether the text of a newer routing table has been missing for so long that it is
     * asked from any store.
     */
    public synchronized boolean isTableLate() {
        return isTableMissing()
                && mTableMissingSince.plus(NEAREST_PATIENCE).compareTo(mClock.now()) < 0;
    }

    private boolean isTableMissing() {
        return mNewestNumber > mPicture.state().routingNumber();
    }

    /** Takes a store's reply. */
    public void take(HostPort store, WatchReply reply) {
        FleetPicture picture;
        synchronized (this) {
            Duration now = mClock.now();
            FeedMirror mirror = mMirrors.computeIfAbsent(store, address -> new FeedMirror());
            boolean isChanged = mirror.take(reply, now);
            boolean isAgreedNew = takeAgreed(reply);
            if (reply.isCurrent()) {
                mContact.answered(store, mStores, now);
            }
            if (!isAgreedNew) {
                if (isChanged) {
                    scheduleRebuild();
                }
                return;
            }
            picture = mPicture;
        }
        mListeners.forEach(listener -> listener.accept(picture));
    }

    private void scheduleRebuild() {
        if (mIsRebuildDue) {
            return;
        }
        mIsRebuildDue = true;
        Duration collect = COLLECT_PER_MEMBER.multipliedBy(mMembers);
        mRunner.runAfter(
                collect.compareTo(MAX_COLLECT) < 0 ? collect : MAX_COLLECT, this::rebuildDue);
    }

    private void rebuildDue() {
        FleetPicture picture;
        synchronized (this) {
            if (!mIsRebuildDue) {
                return;
            }
            picture = rebuild(mPicture.state(), mPicture.table());
        }
        mListeners.forEach(listener -> listener.accept(picture));
    }

    /** Takes only what the stores agree on from a store's reply, and leaves its feed as it is. */
    public void takeState(WatchReply reply) {
        FleetPicture picture;
        synchronized (this) {
            if (!takeAgreed(reply)) {
                return;
            }
            picture = mPicture;
        }
        mListeners.forEach(listener -> listener.accept(picture));
    }

    private boolean takeAgreed(WatchReply reply) {
        if (!reply.isCurrent()) {
            return false;
        }
        if (!reply.getStores().isEmpty()) {
            Set<HostPort> stores = new LinkedHashSet<>();
            reply.getStores().forEach(address -> stores.add(HostPort.parse(address)));
            mStores = stores;
        }
        return reply.isSetContent() && takeContent(reply.getContent());
    }

    /** Forgets what a store has said, once it has been out of reach for long. */
    public void forget(HostPort store) {
        FleetPicture picture;
        synchronized (this) {
            FeedMirror mirror = mMirrors.remove(store);
            if (mirror == null) {
                return;
            }
            picture = rebuild(mPicture.state(), mPicture.table());
        }
        mListeners.forEach(listener -> listener.accept(picture));
    }

    private boolean takeContent(FleetContent content) {
        FleetState held = mPicture.state();
        FleetState told = FleetState.fromThrift(content);
        if (told.routingNumber() > mNewestNumber) {
            // Tables may follow one another faster than the patience, so the first one counts.
            if (!isTableMissing()) {
                mTableMissingSince = mClock.now();
            }
            mNewestNumber = told.routingNumber();
        }
        FleetState newest = told.index() > held.index() ? told : held;
        Optional<RoutingTable> table = mPicture.table();
        boolean hasNewTable = told.hasRouting() && told.routingNumber() > held.routingNumber();
        if (hasNewTable) {
            table = parse(told);
            mTableMissingSince = mClock.now();
        }
        FleetState state = newest.withRouting(hasNewTable ? told : held);
        if (state.index() == held.index() && !hasNewTable) {
            return false;
        }
        noteVersions(held, state);
        logChanges(held, state);
        rebuild(state, table);
        return true;
    }

    private Optional<RoutingTable> parse(FleetState told) {
        Checked<RoutingTable> parsed = mFormat.parse(PackedText.unpack(told.routing()));
        if (!parsed.isValid()) {
            // The store that took the table has checked it, so this daemon is of another build.
            Logger.error(
                    "routing table {} can't be read: {}",
                    told.routingNumber(),
                    parsed.describeFaults());
            return mPicture.table();
        }
        return Optional.of(parsed.orElseThrow());
    }

    private void noteVersions(FleetState held, FleetState state) {
        boolean isFirst = held.index() == 0;
        Duration now = mClock.now();
        state.versions()
                .forEach(
                        (model, version) -> {
                            if (version > held.version(model, 0)) {
                                mVersions.merge(
                                        model,
                                        VersionHistory.NONE.with(
                                                version, isFirst ? now.minus(LONG_AGO) : now),
                                        (known, added) -> known.with(version, now));
                            }
                        });
    }

    private static void logChanges(FleetState held, FleetState state) {
        Logger.info(
                "fleet state at index {} (was {}): routing table {} (was {}), out {}, versions {}",
                state.index(),
                held.index(),
                state.routingNumber(),
                held.routingNumber(),
                state.out(),
                state.versions());
    }

    private FleetPicture rebuild(FleetState state, Optional<RoutingTable> table) {
        mIsRebuildDue = false;
        Map<String, List<EndpointInfo>> byService = new HashMap<>();
        List<EndpointInfo> endpoints = mMerge.endpoints(mMirrors.values());
        List<Participant> participants = EndpointMerge.participants(mMirrors.values());
        mMembers = endpoints.size() + participants.size();
        for (EndpointInfo endpoint : endpoints) {
            byService.computeIfAbsent(endpoint.service(), name -> new ArrayList<>()).add(endpoint);
        }
        mPicture = FleetPicture.of(state, table, byService, participants, mVersions, mNewestNumber);
        return mPicture;
    }
}
