package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.sequoiahill.daemon.process.endpoints.EndpointRegistry;
import org.sequoiahill.daemon.process.fleet.FleetView;
import org.sequoiahill.daemon.process.fleet.RoutingTable;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.process.time.ManualClock;
import org.sequoiahill.protocol.gen.Participant;
import org.sequoiahill.protocol.gen.ParticipantRole;
import org.sequoiahill.protocol.gen.WatchReply;
import org.sequoiahill.protocol.gen.WatchRequest;
import org.sequoiahill.protocol.json.ParseResult;

/**
 * Simulates entries and three stores in virtual time; all attempts fail during a storm.
 *
 * <p>Store registries, fleet views and retry budgets are the real ones; only calls are simulated.
 * Each entry and store is in a network partition and reaches only what is in the same one.
 */
final class SimulatedEntries {
    static final int STEPS_PER_SECOND = 10;
    private static final int STORES = 3;
    private static final int CALL_INTERVAL_STEPS = 9;
    private static final int FORGET_STORE_STEPS = 120;
    private static final int RESTART_STEPS = 5;
    private static final int MAX_ARRIVAL_DELAY_STEPS = 5;
    private static final int RETRIES_PER_REQUEST = 2;
    private static final Duration STEP = Duration.ofMillis(1_000 / STEPS_PER_SECOND);
    private static final Duration PARTICIPANT_LEASE = Duration.ofSeconds(4);

    private final DirectSettings mSettings;
    private final ManualClock mClock = new ManualClock();
    private final Random mRandom;
    private final List<EndpointRegistry> mStores = new ArrayList<>();
    private final int[] mStorePartitions = new int[STORES];
    private final List<Entry> mEntries = new ArrayList<>();
    private final int[] mRequests;
    private final int[] mRetries;
    private int mStep;

    SimulatedEntries(DirectSettings settings, int entries, int seconds, long seed) {
        mSettings = settings;
        mRandom = new Random(seed);
        mRequests = new int[seconds * STEPS_PER_SECOND + MAX_ARRIVAL_DELAY_STEPS + 1];
        mRetries = new int[mRequests.length];
        for (int i = 0; i < STORES; i++) {
            mStores.add(
                    EndpointRegistry.of(
                            mClock,
                            InstantSource.system(),
                            PARTICIPANT_LEASE,
                            PARTICIPANT_LEASE,
                            i + 1));
        }
        add(entries);
    }

    /** Runs for a time; the requests of each second are spread over the running entries. */
    void run(double seconds, double requestsPerSecond, boolean isStorm) {
        int end = mStep + (int) Math.round(seconds * STEPS_PER_SECOND);
        double due = 0;
        while (mStep < end) {
            mClock.advance(STEP);
            mStep++;
            mStores.forEach(EndpointRegistry::expire);
            mEntries.forEach(Entry::step);
            List<Entry> running = mEntries.stream().filter(Entry::isRunning).toList();
            due += requestsPerSecond / STEPS_PER_SECOND;
            while (due >= 1) {
                due--;
                mRequests[mStep]++;
                if (!running.isEmpty()) {
                    running.get(mRandom.nextInt(running.size())).request(isStorm);
                }
            }
        }
    }

    /** Adds entries that start now. */
    void add(int entries) {
        for (int i = 0; i < entries; i++) {
            mEntries.add(new Entry(mEntries.size()));
        }
    }

    /** Kills entries and restarts them. */
    void restart(IntPredicate which) {
        select(which).forEach(entry -> entry.restartAt(mStep + RESTART_STEPS));
    }

    /** Ends entries permanently. */
    void remove(IntPredicate which) {
        select(which).forEach(entry -> entry.restartAt(Integer.MAX_VALUE));
    }

    /** Suspends the processes of entries for a time. */
    void suspend(IntPredicate which, double seconds) {
        int steps = (int) Math.round(seconds * STEPS_PER_SECOND);
        select(which).forEach(entry -> entry.mSuspendedUntil = mStep + steps);
    }

    /** Kills stores and restarts them without any registrations. */
    void restartStores(IntPredicate which) {
        for (int i = 0; i < STORES; i++) {
            if (which.test(i)) {
                long feed = mRandom.nextLong(1L << 32);
                mStores.set(
                        i,
                        EndpointRegistry.of(
                                mClock,
                                InstantSource.system(),
                                PARTICIPANT_LEASE,
                                PARTICIPANT_LEASE,
                                feed));
            }
        }
    }

    /** Moves entries and stores into a network partition. */
    void moveToPartition(IntPredicate entries, IntPredicate stores, int partition) {
        select(entries).forEach(entry -> entry.mPartition = partition);
        IntStream.range(0, STORES)
                .filter(stores)
                .forEach(store -> mStorePartitions[store] = partition);
    }

    /**
     * Returns the maximum by which retries exceeded the limit in any window, 0 if they never did.
     * The limit counts the requests of the window, of the one before it, or of the one that begins
     * half a window earlier, whichever are most.
     */
    double excess() {
        int window = (int) mSettings.retryWindow().toSeconds() * STEPS_PER_SECOND;
        double excess = 0;
        for (int start = window; start < mRequests.length - window; start++) {
            int requests =
                    Math.max(
                            sum(mRequests, start, window),
                            Math.max(
                                    sum(mRequests, start - window, window),
                                    sum(mRequests, start - window / 2, window)));
            double limit = mSettings.retryRatio() * requests + mSettings.retrySlack();
            excess = Math.max(excess, sum(mRetries, start, window) - limit);
        }
        return excess;
    }

    /** Returns the number of retries that arrived from a given second on. */
    int retriesSince(int second) {
        int start = second * STEPS_PER_SECOND;
        return sum(mRetries, start, mRetries.length - start);
    }

    private List<Entry> select(IntPredicate which) {
        return mEntries.stream().filter(entry -> which.test(entry.mNumber)).toList();
    }

    private static int sum(int[] counts, int start, int length) {
        return IntStream.range(start, start + length).map(i -> counts[i]).sum();
    }

    /** Returns whether a store is in the same partition as a majority of the stores. */
    private boolean isCurrent(int store) {
        return IntStream.of(mStorePartitions)
                                .filter(partition -> partition == mStorePartitions[store])
                                .count()
                        * 2
                > STORES;
    }

    private static HostPort address(int store) {
        return new HostPort("10.0.0." + store, 1);
    }

    /** One entry, which may have several processes in succession. */
    private final class Entry {
        private final int mNumber;
        private final Map<Integer, Integer> mLastReplyAt = new HashMap<>();
        private int mPartition;
        private int mIncarnation;
        private int mStartsAt;
        private int mSuspendedUntil;
        private FleetView mView;
        private SlackShare mSlackShare;
        private SharedRetryBudget mBudget = SharedRetryBudget.of(mSettings);

        Entry(int number) {
            mNumber = number;
            mView = newView();
            mSlackShare = newShare();
            mStartsAt = mStep + 1;
        }

        private FleetView newView() {
            return FleetView.of(
                    mClock,
                    text -> ParseResult.of(RoutingTable.of(1, List.of(), Map.of(), Map.of(), 0)),
                    (delay, task) -> task.run());
        }

        private SlackShare newShare() {
            FleetView view = mView;
            SlackShare share = SlackShare.of(mSettings, view::quorumContactSince, mClock);
            view.addListener(share::update);
            return share;
        }

        boolean isRunning() {
            return mStep >= mStartsAt && mStep >= mSuspendedUntil;
        }

        void restartAt(int step) {
            mStartsAt = step;
            mSuspendedUntil = 0;
            mIncarnation++;
            mLastReplyAt.clear();
            mView = newView();
            mSlackShare = newShare();
            mBudget = SharedRetryBudget.of(mSettings);
        }

        void step() {
            if (!isRunning()) {
                return;
            }
            for (int store = 0; store < STORES; store++) {
                boolean isDue = (mStep + mNumber + store) % CALL_INTERVAL_STEPS == 0;
                if (mPartition == mStorePartitions[store]
                        && (isDue || !mLastReplyAt.containsKey(store))) {
                    call(store);
                    mLastReplyAt.put(store, mStep);
                } else if (mStep - mLastReplyAt.getOrDefault(store, mStep) > FORGET_STORE_STEPS) {
                    mView.removeStore(address(store));
                    mLastReplyAt.remove(store);
                }
            }
        }

        private void call(int store) {
            WatchRequest request = new WatchRequest();
            mView.prepare(request, address(store), false);
            mStores.get(store).recordParticipant(participant());
            WatchReply reply = new WatchReply().setItems(new ArrayList<>());
            mStores.get(store)
                    .await(
                            reply,
                            request.getFeed(),
                            request.getChange(),
                            Duration.ZERO,
                            () -> false);
            reply.setCurrent(isCurrent(store));
            reply.setStores(
                    IntStream.range(0, STORES).mapToObj(each -> address(each).toString()).toList());
            reply.setDataCentre("dc-" + store);
            mView.apply(address(store), reply);
        }

        void request(boolean isStorm) {
            mBudget.onRequest(mClock.now());
            for (int i = 0; isStorm && i < RETRIES_PER_REQUEST; i++) {
                if (tryAcquire()) {
                    mRetries[mStep + mRandom.nextInt(MAX_ARRIVAL_DELAY_STEPS + 1)]++;
                }
            }
        }

        private boolean tryAcquire() {
            return mBudget.tryAcquire(mClock.now(), mSlackShare.entryCount())
                    != SharedRetryBudget.Verdict.DENIED;
        }

        private Participant participant() {
            return new Participant(
                    "entry-" + mNumber,
                    "entry",
                    ParticipantRole.ENTRY,
                    "dc-1",
                    "10.1.0.1:1",
                    mIncarnation + 1,
                    1,
                    "",
                    "",
                    false,
                    Map.of());
        }
    }
}
