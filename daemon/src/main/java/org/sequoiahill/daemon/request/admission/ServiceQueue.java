package org.sequoiahill.daemon.request.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.Refusal;
import org.sequoiahill.daemon.request.RoutedRequest;
import org.sequoiahill.protocol.document.ServiceDocument.Organisation;
import org.sequoiahill.protocol.document.ServiceDocument.Priority;

/** Requests of one service that wait for their turn, under one lock. */
final class ServiceQueue {
    private static final double SERVICE_TIME_WEIGHT = 1.0 / 16;
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

    private static final Refusal NO_ENDPOINT =
            Refusal.unavailable("no_endpoint", "no data centre has an endpoint of the service");

    private final Object mLock = new Object();
    private final MonotonicClock mClock;
    private final PlacementResult.Placer mPlacer;
    private final FairQueue<QueuedRequest> mQueue;
    private final DispatchRate mTotalRate = new DispatchRate();
    private final Map<Priority, DispatchRate> mRateByPriority = new EnumMap<>(Priority.class);
    private double mAverageServiceNanos;

    ServiceQueue(
            MonotonicClock clock,
            PlacementResult.Placer placer,
            int maxItems,
            long maxBytesPerOrganisation) {
        mClock = clock;
        mPlacer = placer;
        mQueue = new FairQueue<>(maxItems, maxBytesPerOrganisation);
        for (Priority priority : Priority.values()) {
            mRateByPriority.put(priority, new DispatchRate());
        }
    }

    /** Grants, queues or refuses a request. */
    void submit(QueuedRequest ticket) {
        List<Runnable> calls = new ArrayList<>();
        synchronized (mLock) {
            offer(ticket, calls);
        }
        calls.forEach(Runnable::run);
    }

    /** Queues a request that had its turn and was not taken, before others of its organisation. */
    void requeue(QueuedRequest ticket) {
        List<Runnable> calls = new ArrayList<>();
        synchronized (mLock) {
            mQueue.requeue(itemOf(ticket));
            grantReady(calls);
        }
        calls.forEach(Runnable::run);
    }

    /** Grants what has room now and refuses what can't make its deadline any more. */
    void dispatch() {
        List<Runnable> calls = new ArrayList<>();
        synchronized (mLock) {
            if (mQueue.size() == 0) {
                return;
            }
            refuseExpired(calls);
            grantReady(calls);
        }
        calls.forEach(Runnable::run);
    }

    /** Notes how long a granted request took. */
    void recordServiceTime(Duration time) {
        synchronized (mLock) {
            mAverageServiceNanos +=
                    mAverageServiceNanos == 0
                            ? time.toNanos()
                            : (time.toNanos() - mAverageServiceNanos) * SERVICE_TIME_WEIGHT;
        }
    }

    /** Returns the requests that wait. */
    int size() {
        synchronized (mLock) {
            return mQueue.size();
        }
    }

    private void offer(QueuedRequest ticket, List<Runnable> calls) {
        Duration now = mClock.now();
        if (mQueue.size() > 0) {
            Duration wait = estimatedWait(now, ticket);
            if (now.plus(wait).plus(serviceTime()).compareTo(ticket.deadline()) > 0) {
                calls.add(() -> ticket.onRefused(deadlineRefusal(wait)));
                return;
            }
        }
        FairQueue.Offer<QueuedRequest> offer = mQueue.offer(itemOf(ticket));
        if (offer instanceof FairQueue.Offer.OrganisationFull<QueuedRequest>) {
            Duration wait = estimatedWait(now, ticket);
            calls.add(() -> ticket.onRefused(capacityRefusal("organisation_full", wait)));
        } else if (offer instanceof FairQueue.Offer.QueueFull<QueuedRequest>) {
            Duration wait = estimatedWait(now, ticket);
            calls.add(() -> ticket.onRefused(capacityRefusal("queue_full", wait)));
        } else if (offer instanceof FairQueue.Offer.Shed<QueuedRequest> shed) {
            QueuedRequest victim = shed.value();
            Duration wait = estimatedWait(now, victim);
            calls.add(() -> victim.onRefused(capacityRefusal("shed", wait)));
        }
        grantReady(calls);
    }

    private void grantReady(List<Runnable> calls) {
        for (Optional<FairQueue.Item<QueuedRequest>> item = mQueue.poll();
                item.isPresent();
                item = mQueue.poll()) {
            QueuedRequest ticket = item.get().value();
            if (ticket.isAbandoned()) {
                calls.add(() -> ticket.onRefused(deadlineRefusal(Duration.ZERO)));
                continue;
            }
            PlacementResult placement = mPlacer.place(ticket);
            if (placement instanceof PlacementResult.NoCapacity) {
                mQueue.requeue(item.get());
                return;
            }
            if (placement instanceof PlacementResult.Placed at) {
                at.attempt().place().requestStarted();
                recordTurn(item.get().priority());
                calls.add(() -> ticket.onGranted(at.attempt()));
            } else {
                calls.add(() -> ticket.onRefused(NO_ENDPOINT));
            }
        }
    }

    private void recordTurn(Priority priority) {
        Duration now = mClock.now();
        mQueue.recordTurn(priority);
        mTotalRate.add(now);
        rateOf(priority).add(now);
    }

    private void refuseExpired(List<Runnable> calls) {
        Duration latest = mClock.now().plus(serviceTime());
        for (QueuedRequest ticket :
                mQueue.removeIf(t -> t.isAbandoned() || t.deadline().compareTo(latest) < 0)) {
            Duration wait = estimatedWait(mClock.now(), ticket);
            calls.add(() -> ticket.onRefused(deadlineRefusal(wait)));
        }
    }

    /** Returns the time until a new request like this one has its turn, by the queue's own rate. */
    private Duration estimatedWait(Duration now, QueuedRequest ticket) {
        RoutedRequest request = ticket.request();
        Priority priority = request.route().priority();
        Organisation organisation = request.organisation();
        int own = mQueue.aheadInClass(priority, organisation.name(), organisation.share());
        int all = own + mQueue.aheadInHigherClasses(priority);
        double byAll = seconds(all, mTotalRate.perSecond(now));
        double byClass = seconds(own, rateOf(priority).perSecond(now));
        return Duration.ofNanos((long) (Math.max(byAll, byClass) * 1e9));
    }

    private static double seconds(int turns, double perSecond) {
        return perSecond == 0 ? 0 : turns / perSecond;
    }

    private Duration serviceTime() {
        return Duration.ofNanos((long) mAverageServiceNanos);
    }

    private DispatchRate rateOf(Priority priority) {
        DispatchRate rate = mRateByPriority.get(priority);
        if (rate == null) {
            throw new IllegalStateException("every priority has a rate");
        }
        return rate;
    }

    private static Refusal deadlineRefusal(Duration wait) {
        return Refusal.overloaded("deadline", "the deadline can't be met", retryAfter(wait));
    }

    private static Refusal capacityRefusal(String code, Duration wait) {
        return Refusal.overloaded(code, "too many requests wait", retryAfter(wait));
    }

    private static Duration retryAfter(Duration wait) {
        Duration least = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
        return least.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : least;
    }

    private static FairQueue.Item<QueuedRequest> itemOf(QueuedRequest ticket) {
        RoutedRequest request = ticket.request();
        Organisation organisation = request.organisation();
        return new FairQueue.Item<>(
                ticket,
                request.route().priority(),
                organisation.name(),
                organisation.share(),
                organisation.queueLimit(),
                request.body().remaining());
    }
}
