package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.process.endpoints.EndpointInfo;
import org.sequoiahill.daemon.process.fleet.FleetSnapshot;
import org.sequoiahill.daemon.process.time.DelayedExecutor;
import org.sequoiahill.daemon.process.time.MonotonicClock;

/**
 * Grants requests permits for endpoints: immediately if one has capacity, otherwise in order of
 * priority as capacity becomes free, until the request's queue deadline.
 *
 * <p>Within a priority, requests that can still be on time go before late ones, and within each of
 * these groups the newest goes first. Under overload, a FIFO queue lets each request wait nearly as
 * long as it may, so that all responses are late. With LIFO, requests that get a permit get it in
 * time, and the others are refused early.
 */
public final class Dispatcher {
    /** Interval at which queued requests are reconsidered even if no other event occurs. */
    private static final Duration RECHECK_INTERVAL = Duration.ofMillis(20);

    /** Minimum retry delay for refused callers. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(400);

    /** Jitter of the retry delay, so that refused callers don't retry at the same time. */
    private static final Duration RETRY_AFTER_JITTER = Duration.ofMillis(800);

    /** Time for which an endpoint is avoided after it rejected a request without running it. */
    private static final Duration REJECTED_PAUSE = Duration.ofMillis(80);

    /**
     * Time for which an endpoint is avoided after its address responded for another endpoint, until
     * reports say which endpoint is there.
     */
    private static final Duration MISDIRECTED_PAUSE = Duration.ofSeconds(2);

    private final Object mLock = new Object();
    private final Supplier<FleetSnapshot> mSnapshot;
    private final MonotonicClock mClock;
    private final RandomGenerator mRandom;
    private final DelayedExecutor mRunner;
    private final EndpointSelector mSelector;
    private final Map<Incarnation, EndpointStatus> mStatuses = new HashMap<>();
    private final Map<String, PriorityQueue<QueueEntry>> mQueues = new HashMap<>();
    private final Map<String, RecoveryEstimator> mRecoveryEstimators = new HashMap<>();
    private long mNextArrival;
    private int mQueueLength;
    private boolean mIsRecheckScheduled;

    private Dispatcher(
            Supplier<FleetSnapshot> snapshot,
            DirectSettings settings,
            MonotonicClock clock,
            RandomGenerator random,
            DelayedExecutor runner) {
        mSnapshot = snapshot;
        mClock = clock;
        mRandom = random;
        mRunner = runner;
        mSelector = EndpointSelector.of(settings, random, this::statusOf);
    }

    /** Returns the dispatcher of one entry. */
    public static Dispatcher of(
            Supplier<FleetSnapshot> snapshot,
            DirectSettings settings,
            MonotonicClock clock,
            RandomGenerator random,
            DelayedExecutor runner) {
        return new Dispatcher(snapshot, settings, clock, random, runner);
    }

    private record Incarnation(String id, long startedAt) {}

    private record QueueEntry(PendingRequest request, long arrival) {
        static final Comparator<QueueEntry> ORDER =
                Comparator.comparingInt((QueueEntry entry) -> entry.request().priority())
                        .thenComparing((QueueEntry entry) -> entry.request().isLate())
                        .thenComparing(Comparator.comparingLong(QueueEntry::arrival).reversed());
    }

    /**
     * Queues a request; its {@code onGranted} or {@code onRefused} is called by this thread, or by
     * another one later.
     */
    public void submit(PendingRequest request) {
        synchronized (mLock) {
            queueOf(request.service()).add(new QueueEntry(request, mNextArrival++));
            mQueueLength++;
        }
        dispatchQueued(request.service());
    }

    /**
     * Returns whether an attempt whose response has not begun must be given up, because the
     * endpoint's version is older than {@link DirectSettings#recallAfter} allows.
     */
    boolean isOutdated(PendingRequest request, EndpointInfo endpoint) {
        return mSelector.isOutdated(request, endpoint, mSnapshot.get(), mClock.now());
    }

    /** Returns the number of queued requests of all services. */
    public int queueLength() {
        synchronized (mLock) {
            return mQueueLength;
        }
    }

    /** Reconsiders all queued requests after a change of the endpoints. */
    public void refresh() {
        synchronized (mLock) {
            evictEndedIncarnations();
        }
        dispatchAllQueued();
    }

    private void dispatchAllQueued() {
        List<String> services;
        synchronized (mLock) {
            services = List.copyOf(mQueues.keySet());
        }
        services.forEach(this::dispatchQueued);
    }

    /** Applies engine loads reported by agents. */
    public void updateLoads(Collection<ReportedLoad> loads) {
        FleetSnapshot snapshot = mSnapshot.get();
        Set<String> services = new HashSet<>();
        synchronized (mLock) {
            for (ReportedLoad load : loads) {
                snapshot.endpointAt(load.engine())
                        .ifPresent(
                                endpoint -> {
                                    statusOf(endpoint).updateLoad(load);
                                    services.add(endpoint.service());
                                });
            }
        }
        services.forEach(this::dispatchQueued);
    }

    void onResponse(EndpointStatus status, long number, ResponseMetadata response) {
        synchronized (mLock) {
            status.onResponse(number, response, mClock.now());
        }
    }

    void onSilence(EndpointStatus status, long number) {
        synchronized (mLock) {
            status.onSilence(number, mClock.now());
        }
    }

    void release(
            EndpointInfo endpoint,
            EndpointStatus status,
            long number,
            EndpointPermit.Result result) {
        synchronized (mLock) {
            Duration now = mClock.now();
            status.onEnded(number, now);
            switch (result) {
                case SUCCEEDED -> status.onSuccess();
                case FAILED -> status.onFailure(now);
                case UNREACHABLE -> status.onUnreachable(now);
                case REJECTED -> status.onRejected(now, REJECTED_PAUSE);
                case MISDIRECTED -> status.onRejected(now, MISDIRECTED_PAUSE);
                case CANCELLED -> {}
                default -> throw new IllegalStateException("unknown result " + result);
            }
        }
        dispatchQueued(endpoint.service());
    }

    private void dispatchQueued(String service) {
        List<Runnable> callbacks = new ArrayList<>();
        synchronized (mLock) {
            PriorityQueue<QueueEntry> queue = queueOf(service);
            FleetSnapshot snapshot = mSnapshot.get();
            Duration now = mClock.now();
            List<QueueEntry> remaining = new ArrayList<>();
            while (!queue.isEmpty()) {
                QueueEntry entry = queue.poll();
                if (!tryResolve(entry.request(), snapshot, now, callbacks)) {
                    remaining.add(entry);
                }
            }
            queue.addAll(remaining);
            mQueueLength -= callbacks.size();
            scheduleRecheck(!remaining.isEmpty());
        }
        callbacks.forEach(Runnable::run);
    }

    /** Grants or refuses a request if that is possible now; returns whether it was. */
    private boolean tryResolve(
            PendingRequest request,
            FleetSnapshot snapshot,
            Duration now,
            List<Runnable> callbacks) {
        if (request.isAbandoned()) {
            callbacks.add(
                    () ->
                            request.onRefused(
                                    new PendingRequest.DispatchRefusal(
                                            "caller_gone", Duration.ZERO)));
            return true;
        }
        EndpointSelector.Selection selection = mSelector.select(request, snapshot, now);
        if (selection.endpoint().isPresent()) {
            recoveryEstimatorOf(request).onServed();
            EndpointPermit permit = acquirePermit(selection, snapshot, now, request.promptTokens());
            callbacks.add(() -> request.onGranted(permit));
            return true;
        }
        if (selection.candidates() == 0) {
            PendingRequest.DispatchRefusal refusal =
                    refusal("no_endpoint", estimateRecovery(request, now));
            callbacks.add(() -> request.onRefused(refusal));
            return true;
        }
        recoveryEstimatorOf(request).onServed();
        boolean isPausedTooLong =
                selection
                        .pausedUntil()
                        .filter(end -> end.compareTo(request.queueDeadline()) >= 0)
                        .isPresent();
        if (isPausedTooLong) {
            Duration retryAfter = selection.pausedUntil().orElseThrow().minus(now);
            PendingRequest.DispatchRefusal refusal = refusal("endpoints_pause", retryAfter);
            callbacks.add(() -> request.onRefused(refusal));
            return true;
        }
        if (now.compareTo(request.queueDeadline()) >= 0) {
            PendingRequest.DispatchRefusal refusal = refusal("no_room", MIN_RETRY_AFTER);
            callbacks.add(() -> request.onRefused(refusal));
            return true;
        }
        return false;
    }

    private EndpointPermit acquirePermit(
            EndpointSelector.Selection selection,
            FleetSnapshot snapshot,
            Duration now,
            int promptTokens) {
        EndpointInfo endpoint = selection.endpoint().orElseThrow();
        EndpointStatus status = statusOf(endpoint);
        int load = (int) status.load(EndpointSelector.entryCount(snapshot), now);
        if (mSelector.isCold(endpoint, snapshot, now)) {
            status.coldStartPacer().recordSent(now);
        }
        return new EndpointPermit(
                this,
                endpoint,
                status,
                status.onSent(now, promptTokens),
                selection.version(),
                load);
    }

    private PendingRequest.DispatchRefusal refusal(String reason, Duration retryAfter) {
        long jitter = (long) (RETRY_AFTER_JITTER.toMillis() * mRandom.nextDouble());
        return new PendingRequest.DispatchRefusal(reason, retryAfter.plusMillis(jitter));
    }

    /** Returns the estimated time until an endpoint can run the request. */
    private Duration estimateRecovery(PendingRequest request, Duration now) {
        boolean isAnyVersionServed = request.version().isEmpty();
        return isAnyVersionServed && !request.model().isEmpty()
                ? recoveryEstimatorOf(request).onNotServed(now)
                : MIN_RETRY_AFTER;
    }

    private RecoveryEstimator recoveryEstimatorOf(PendingRequest request) {
        return mRecoveryEstimators.computeIfAbsent(
                request.service(), service -> RecoveryEstimator.of(MIN_RETRY_AFTER));
    }

    private void scheduleRecheck(boolean hasQueuedRequests) {
        if (!hasQueuedRequests || mIsRecheckScheduled) {
            return;
        }
        mIsRecheckScheduled = true;
        mRunner.runAfter(
                RECHECK_INTERVAL,
                () -> {
                    synchronized (mLock) {
                        mIsRecheckScheduled = false;
                    }
                    dispatchAllQueued();
                });
    }

    private EndpointStatus statusOf(EndpointInfo endpoint) {
        return mStatuses.computeIfAbsent(
                new Incarnation(endpoint.id(), endpoint.startedAt()),
                incarnation -> new EndpointStatus());
    }

    private void evictEndedIncarnations() {
        FleetSnapshot snapshot = mSnapshot.get();
        Set<Incarnation> known = new HashSet<>();
        snapshot.endpointsByService()
                .values()
                .forEach(
                        list ->
                                list.forEach(
                                        each ->
                                                known.add(
                                                        new Incarnation(
                                                                each.id(), each.startedAt()))));
        Iterator<Map.Entry<Incarnation, EndpointStatus>> all = mStatuses.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Incarnation, EndpointStatus> entry = all.next();
            if (!known.contains(entry.getKey()) && entry.getValue().running() == 0) {
                all.remove();
            }
        }
    }

    private PriorityQueue<QueueEntry> queueOf(String service) {
        return mQueues.computeIfAbsent(service, name -> new PriorityQueue<>(QueueEntry.ORDER));
    }
}
