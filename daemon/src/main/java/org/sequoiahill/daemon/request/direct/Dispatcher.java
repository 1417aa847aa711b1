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
 * Gives requests their places at endpoints: at once where one has room, else in the order of rank
 * as places become free, and no later than a place is of use.
 *
 * <p>Among requests of one rank the newest goes first. Where more come than the endpoints bear, a
 * queue in the order of arrival lets each wait nearly as long as it may, and then all answers are
 * late; this way those that get a place get it in time, and the others hear soon that there is
 * none.
 */
public final class Dispatcher {
    /** Interval at which waiting requests are looked at again when nothing else happens. */
    private static final Duration RECHECK_INTERVAL = Duration.ofMillis(20);

    /** Least pause that a refused caller is told. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(400);

    /** Random part of the pause, so that refused callers don't come back together. */
    private static final Duration RETRY_AFTER_JITTER = Duration.ofMillis(800);

    /** Pause after a full endpoint turned a request away. */
    private static final Duration REJECTED_PAUSE = Duration.ofMillis(80);

    /** Pause after an address answered for another endpoint, until reports tell what is there. */
    private static final Duration MISDIRECTED_PAUSE = Duration.ofSeconds(2);

    private final Object mLock = new Object();
    private final Supplier<FleetSnapshot> mPicture;
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
            Supplier<FleetSnapshot> picture,
            DirectSettings settings,
            MonotonicClock clock,
            RandomGenerator random,
            DelayedExecutor runner) {
        mPicture = picture;
        mClock = clock;
        mRandom = random;
        mRunner = runner;
        mSelector = EndpointSelector.of(settings, random, this::statusOf);
    }

    /** Returns a dispatcher of one entry. */
    public static Dispatcher of(
            Supplier<FleetSnapshot> picture,
            DirectSettings settings,
            MonotonicClock clock,
            RandomGenerator random,
            DelayedExecutor runner) {
        return new Dispatcher(picture, settings, clock, random, runner);
    }

    private record Incarnation(String id, long startedAt) {}

    private record QueueEntry(PendingRequest request, long arrival) {
        static final Comparator<QueueEntry> ORDER =
                Comparator.comparingInt((QueueEntry waiting) -> waiting.request().priority())
                        .thenComparing((QueueEntry waiting) -> waiting.request().isLate())
                        .thenComparing(Comparator.comparingLong(QueueEntry::arrival).reversed());
    }

    /** Asks for a place; the ticket hears of it on this thread or a later one. */
    public void submit(PendingRequest ticket) {
        synchronized (mLock) {
            queueOf(ticket.service()).add(new QueueEntry(ticket, mNextArrival++));
            mQueueLength++;
        }
        dispatchQueued(ticket.service());
    }

    /**
     * Returns whether a request that an endpoint hasn't begun must not begin there any more, since
     * the endpoint has an older version than the one that is due.
     */
    boolean isOutdated(PendingRequest ticket, EndpointInfo endpoint) {
        return mSelector.isOutdated(ticket, endpoint, mPicture.get(), mClock.now());
    }

    /** Returns how many requests wait. */
    public int queueLength() {
        synchronized (mLock) {
            return mQueueLength;
        }
    }

    /** Looks at all waiting requests again, since endpoints have changed. */
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

    /** Takes loads of endpoints as their agents tell them. */
    public void updateLoads(Collection<ReportedLoad> loads) {
        FleetSnapshot picture = mPicture.get();
        Set<String> services = new HashSet<>();
        synchronized (mLock) {
            for (ReportedLoad load : loads) {
                picture.endpointAt(load.engine())
                        .ifPresent(
                                endpoint -> {
                                    statusOf(endpoint).updateLoad(load);
                                    services.add(endpoint.service());
                                });
            }
        }
        services.forEach(this::dispatchQueued);
    }

    void onResponse(EndpointStatus status, long number, ResponseMetadata answer) {
        synchronized (mLock) {
            status.onResponse(number, answer, mClock.now());
        }
    }

    void release(
            EndpointInfo endpoint, EndpointStatus status, long number, EndpointPermit.Result end) {
        synchronized (mLock) {
            Duration now = mClock.now();
            status.onEnded(number, now);
            switch (end) {
                case SUCCEEDED -> status.onSuccess();
                case FAILED -> status.onFailure(now);
                case UNREACHABLE -> status.onUnreachable(now);
                case REJECTED -> status.onRejected(now, REJECTED_PAUSE);
                case MISDIRECTED -> status.onRejected(now, MISDIRECTED_PAUSE);
                case CANCELLED -> {}
                default -> throw new IllegalStateException("unknown end " + end);
            }
        }
        dispatchQueued(endpoint.service());
    }

    private void dispatchQueued(String service) {
        List<Runnable> outcomes = new ArrayList<>();
        synchronized (mLock) {
            PriorityQueue<QueueEntry> queue = queueOf(service);
            FleetSnapshot picture = mPicture.get();
            Duration now = mClock.now();
            List<QueueEntry> kept = new ArrayList<>();
            while (!queue.isEmpty()) {
                QueueEntry waiting = queue.poll();
                if (!tryResolve(waiting.request(), picture, now, outcomes)) {
                    kept.add(waiting);
                }
            }
            queue.addAll(kept);
            mQueueLength -= outcomes.size();
            scheduleRecheck(!kept.isEmpty());
        }
        outcomes.forEach(Runnable::run);
    }

    /** Returns whether a ticket got a place or a refusal. */
    private boolean tryResolve(
            PendingRequest ticket, FleetSnapshot picture, Duration now, List<Runnable> outcomes) {
        if (ticket.isAbandoned()) {
            outcomes.add(
                    () ->
                            ticket.onRefused(
                                    new PendingRequest.DispatchRefusal(
                                            "caller_gone", Duration.ZERO)));
            return true;
        }
        EndpointSelector.Selection choice = mSelector.select(ticket, picture, now);
        if (choice.endpoint().isPresent()) {
            recoveryEstimatorOf(ticket).onServed();
            EndpointPermit place = acquirePermit(choice, picture, now, ticket.promptTokens());
            outcomes.add(() -> ticket.onGranted(place));
            return true;
        }
        if (choice.candidates() == 0) {
            PendingRequest.DispatchRefusal refusal =
                    rejection("no_endpoint", estimateRecovery(ticket, now));
            outcomes.add(() -> ticket.onRefused(refusal));
            return true;
        }
        recoveryEstimatorOf(ticket).onServed();
        boolean isPausedTooLong =
                choice.pausedUntil()
                        .filter(end -> end.compareTo(ticket.queueDeadline()) >= 0)
                        .isPresent();
        if (isPausedTooLong) {
            Duration pause = choice.pausedUntil().orElseThrow().minus(now);
            PendingRequest.DispatchRefusal refusal = rejection("endpoints_pause", pause);
            outcomes.add(() -> ticket.onRefused(refusal));
            return true;
        }
        if (now.compareTo(ticket.queueDeadline()) >= 0) {
            PendingRequest.DispatchRefusal refusal = rejection("no_room", MIN_RETRY_AFTER);
            outcomes.add(() -> ticket.onRefused(refusal));
            return true;
        }
        return false;
    }

    private EndpointPermit acquirePermit(
            EndpointSelector.Selection choice,
            FleetSnapshot picture,
            Duration now,
            int promptTokens) {
        EndpointInfo endpoint = choice.endpoint().orElseThrow();
        EndpointStatus status = statusOf(endpoint);
        int load = (int) status.load(EndpointSelector.entryCount(picture), now);
        if (mSelector.isCold(endpoint, picture, now)) {
            status.coldStartPacer().recordSent(now);
        }
        return new EndpointPermit(
                this, endpoint, status, status.onSent(now, promptTokens), choice.version(), load);
    }

    private PendingRequest.DispatchRefusal rejection(String reason, Duration pause) {
        long spread = (long) (RETRY_AFTER_JITTER.toMillis() * mRandom.nextDouble());
        return new PendingRequest.DispatchRefusal(reason, pause.plusMillis(spread));
    }

    /** Returns how long it will probably last that no endpoint may run a request. */
    private Duration estimateRecovery(PendingRequest ticket, Duration now) {
        boolean isAnyVersionServed = ticket.version().isEmpty();
        return isAnyVersionServed && !ticket.model().isEmpty()
                ? recoveryEstimatorOf(ticket).onNotServed(now)
                : MIN_RETRY_AFTER;
    }

    private RecoveryEstimator recoveryEstimatorOf(PendingRequest ticket) {
        return mRecoveryEstimators.computeIfAbsent(
                ticket.service(), service -> RecoveryEstimator.of(MIN_RETRY_AFTER));
    }

    private void scheduleRecheck(boolean isAnyWaiting) {
        if (!isAnyWaiting || mIsRecheckScheduled) {
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
                start -> new EndpointStatus());
    }

    private void evictEndedIncarnations() {
        FleetSnapshot picture = mPicture.get();
        Set<Incarnation> known = new HashSet<>();
        picture.endpointsByService()
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
