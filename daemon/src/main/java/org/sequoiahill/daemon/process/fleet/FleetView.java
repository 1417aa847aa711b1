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
import org.sequoiahill.protocol.json.ParseResult;
import org.tinylog.Logger;

/**
 * Builds one snapshot of the fleet from the replies of all stores, and keeps it up to date.
 *
 * <p>Changes of individual daemons and endpoints are batched briefly before a new snapshot is
 * built: every store reports each change, and each snapshot of hundreds of VMs is rebuilt from
 * everything that all stores have reported. Changes of the replicated state appear in the snapshot
 * at once.
 *
 * <p>Neither the state nor the routing table is ever replaced by an older one, whichever store
 * replies.
 */
public final class FleetView {
    /**
     * Time after which stores of other data centres, too, are asked for the text of a missing
     * routing table.
     */
    private static final Duration SAME_DATA_CENTRE_TIMEOUT = Duration.ofMillis(400);

    /** Batching delay per known daemon and endpoint; limits the rate of rebuilds. */
    private static final Duration BATCH_DELAY_PER_MEMBER = Duration.ofNanos(200_000);

    private static final Duration MAX_BATCH_DELAY = Duration.ofMillis(100);

    /** Age assumed for versions whose age is not reported, so that their rollout is due. */
    private static final Duration UNREPORTED_VERSION_AGE = Duration.ofDays(1);

    private final MonotonicClock mClock;
    private final RoutingTableFormat mFormat;
    private final DelayedExecutor mRunner;
    private final List<Consumer<FleetSnapshot>> mListeners = new CopyOnWriteArrayList<>();
    private final Map<HostPort, FeedMirror> mMirrors = new HashMap<>();
    private final EndpointMerge mMerge = new EndpointMerge();
    private final PublicationTimes mPublicationTimes;
    private final QuorumContact mQuorumContact = new QuorumContact();
    private Set<HostPort> mStores = new LinkedHashSet<>();
    private Duration mTableMissingSince = Duration.ZERO;
    private long mNewestTableNumber;
    private int mMemberCount;
    private boolean mIsRebuildScheduled;
    private volatile FleetSnapshot mSnapshot = FleetSnapshot.EMPTY;

    private FleetView(MonotonicClock clock, RoutingTableFormat format, DelayedExecutor runner) {
        mClock = clock;
        mFormat = format;
        mRunner = runner;
        mPublicationTimes = PublicationTimes.of(clock);
    }

    /** Returns a view that has received nothing yet. */
    public static FleetView of(
            MonotonicClock clock, RoutingTableFormat format, DelayedExecutor runner) {
        return new FleetView(clock, format, runner);
    }

    /** Returns the current snapshot. */
    public FleetSnapshot snapshot() {
        return mSnapshot;
    }

    /** Adds a listener of later snapshots; it runs on the thread that builds them. */
    public void addListener(Consumer<FleetSnapshot> listener) {
        mListeners.add(listener);
    }

    /** Returns all stores, as last named by a store whose state is current. */
    public synchronized Set<HostPort> stores() {
        return Set.copyOf(mStores);
    }

    /**
     * Returns since when this daemon has been in uninterrupted contact with a majority of the
     * stores; empty while it is not.
     */
    public synchronized Optional<Duration> quorumContactSince() {
        return mQuorumContact.since(mClock.now());
    }

    /**
     * Fills a request to a store with what this daemon knows already and whether it wants the text
     * of a newer routing table.
     *
     * @param isInSameDataCentre whether the store is in this data centre
     */
    public synchronized void prepare(
            WatchRequest request, HostPort store, boolean isInSameDataCentre) {
        FeedMirror mirror = mMirrors.computeIfAbsent(store, address -> new FeedMirror());
        FleetState state = mSnapshot.state();
        request.setFeed(mirror.feed());
        request.setChange(mirror.change());
        request.setIndex(state.index());
        request.setRoutingNumber(state.routingNumber());
        request.setWantsRouting(isInSameDataCentre || isTableOverdue());
    }

    /**
     * Returns whether the text of a newer routing table has been missing for so long that any store
     * is asked for it.
     */
    public synchronized boolean isTableOverdue() {
        return isTableMissing()
                && mTableMissingSince.plus(SAME_DATA_CENTRE_TIMEOUT).compareTo(mClock.now()) < 0;
    }

    private boolean isTableMissing() {
        return mNewestTableNumber > mSnapshot.state().routingNumber();
    }

    /** Applies a store's reply. */
    public void apply(HostPort store, WatchReply reply) {
        FleetSnapshot snapshot;
        synchronized (this) {
            Duration now = mClock.now();
            FeedMirror mirror = mMirrors.computeIfAbsent(store, address -> new FeedMirror());
            boolean isChanged = mirror.apply(reply, now);
            boolean isReplicatedStateNew = applyReplicatedState(reply);
            if (reply.isCurrent()) {
                mQuorumContact.recordReply(store, mStores, now);
            }
            if (!isReplicatedStateNew) {
                if (isChanged) {
                    scheduleRebuild();
                }
                return;
            }
            snapshot = mSnapshot;
        }
        mListeners.forEach(listener -> listener.accept(snapshot));
    }

    private void scheduleRebuild() {
        if (mIsRebuildScheduled) {
            return;
        }
        mIsRebuildScheduled = true;
        Duration batchDelay = BATCH_DELAY_PER_MEMBER.multipliedBy(mMemberCount);
        mRunner.runAfter(
                batchDelay.compareTo(MAX_BATCH_DELAY) < 0 ? batchDelay : MAX_BATCH_DELAY,
                this::rebuildIfScheduled);
    }

    private void rebuildIfScheduled() {
        FleetSnapshot snapshot;
        synchronized (this) {
            if (!mIsRebuildScheduled) {
                return;
            }
            snapshot = rebuild(mSnapshot.state(), mSnapshot.table());
        }
        mListeners.forEach(listener -> listener.accept(snapshot));
    }

    /** Applies only the replicated state of a store's reply and ignores its feed. */
    public void applyState(WatchReply reply) {
        FleetSnapshot snapshot;
        synchronized (this) {
            if (!applyReplicatedState(reply)) {
                return;
            }
            snapshot = mSnapshot;
        }
        mListeners.forEach(listener -> listener.accept(snapshot));
    }

    private boolean applyReplicatedState(WatchReply reply) {
        if (!reply.isCurrent()) {
            return false;
        }
        if (!reply.getStores().isEmpty()) {
            Set<HostPort> stores = new LinkedHashSet<>();
            reply.getStores().forEach(address -> stores.add(HostPort.parse(address)));
            mStores = stores;
        }
        boolean isStateKnown = mSnapshot.state().index() > 0;
        if (isStateKnown
                && reply.isSetVersionAges()
                && mPublicationTimes.recordAges(reply.getVersionAges())) {
            scheduleRebuild();
        }
        return reply.isSetContent() && applyContent(reply.getContent(), reply.isSetVersionAges());
    }

    /** Discards the endpoints and daemons that a store has reported; the replicated state stays. */
    public void removeStore(HostPort store) {
        FleetSnapshot snapshot;
        synchronized (this) {
            FeedMirror mirror = mMirrors.remove(store);
            if (mirror == null) {
                return;
            }
            snapshot = rebuild(mSnapshot.state(), mSnapshot.table());
        }
        mListeners.forEach(listener -> listener.accept(snapshot));
    }

    private boolean applyContent(FleetContent content, boolean hasVersionAges) {
        FleetState held = mSnapshot.state();
        FleetState received = FleetState.fromThrift(content);
        if (received.routingNumber() > mNewestTableNumber) {
            // The time counts from the first missing table, because tables may be replaced faster
            // than the timeout elapses.
            if (!isTableMissing()) {
                mTableMissingSince = mClock.now();
            }
            mNewestTableNumber = received.routingNumber();
        }
        FleetState newest = received.index() > held.index() ? received : held;
        Optional<RoutingTable> table = mSnapshot.table();
        boolean hasNewTable =
                received.hasRouting() && received.routingNumber() > held.routingNumber();
        if (hasNewTable) {
            table = parse(received);
            mTableMissingSince = mClock.now();
        }
        FleetState state = newest.withRouting(hasNewTable ? received : held);
        if (state.index() == held.index() && !hasNewTable) {
            return false;
        }
        // Stores omit the ages of old versions; a store of an older release reports none.
        boolean isUnreportedOld = held.index() == 0 || hasVersionAges;
        mPublicationTimes.record(state, isUnreportedOld ? UNREPORTED_VERSION_AGE : Duration.ZERO);
        logChanges(held, state);
        rebuild(state, table);
        return true;
    }

    private Optional<RoutingTable> parse(FleetState received) {
        ParseResult<RoutingTable> parsed = mFormat.parse(DeflatedText.inflate(received.routing()));
        if (!parsed.isValid()) {
            // The store that accepted the table has validated it, so this daemon runs another
            // build.
            Logger.error(
                    "routing table {} can't be parsed: {}",
                    received.routingNumber(),
                    parsed.describeFaults());
            return mSnapshot.table();
        }
        return Optional.of(parsed.orElseThrow());
    }

    private static void logChanges(FleetState held, FleetState state) {
        Logger.info(
                "fleet state at index {} (was {}): routing table {} (was {}), out of service {},"
                        + " versions {}, traits under quarantine {}",
                state.index(),
                held.index(),
                state.routingNumber(),
                held.routingNumber(),
                state.outOfServiceDataCentres(),
                state.versions(),
                state.quarantinedTraits());
    }

    private FleetSnapshot rebuild(FleetState state, Optional<RoutingTable> table) {
        mIsRebuildScheduled = false;
        Map<String, List<EndpointInfo>> byService = new HashMap<>();
        List<EndpointInfo> endpoints = mMerge.endpoints(mMirrors.values());
        List<Participant> participants = EndpointMerge.participants(mMirrors.values());
        mMemberCount = endpoints.size() + participants.size();
        for (EndpointInfo endpoint : endpoints) {
            byService.computeIfAbsent(endpoint.service(), name -> new ArrayList<>()).add(endpoint);
        }
        mSnapshot =
                FleetSnapshot.of(
                        state,
                        table,
                        byService,
                        participants,
                        mPublicationTimes.histories(),
                        mNewestTableNumber);
        return mSnapshot;
    }
}
