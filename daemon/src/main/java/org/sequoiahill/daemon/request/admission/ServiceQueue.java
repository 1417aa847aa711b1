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

/** Queued requests of one service, guarded by one lock. */
final class ServiceQueue {
    private static final double SERVICE_TIME_WEIGHT = 1.0 / 16;
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

    private static final Refusal NO_ENDPOINT =
            Refusal.unavailable("no_endpoint", "no endpoint of the service in any data centre");

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
    void submit(QueuedRequest queued) {
        List<Runnable> callbacks = new ArrayList<>();
        synchronized (mLock) {
            offer(queued, callbacks);
        }
        callbacks.forEach(Runnable::run);
    }

    /**
     * Queues a granted request again after an attempt without a response, ahead of others of its
     * organisation.
     */
    void requeue(QueuedRequest queued) {
        List<Runnable> callbacks = new ArrayList<>();
        synchronized (mLock) {
            mQueue.requeue(itemOf(queued));
            grantReady(callbacks);
        }
        callbacks.forEach(Runnable::run);
    }

    /**
     * Refuses requests that can't meet their deadline any more or whose caller has disconnected,
     * and grants requests while endpoints have capacity.
     */
    void dispatch() {
        List<Runnable> callbacks = new ArrayList<>();
        synchronized (mLock) {
            if (mQueue.size() == 0) {
                return;
            }
            refuseExpired(callbacks);
            grantReady(callbacks);
        }
        callbacks.forEach(Runnable::run);
    }

    /** Records the time from sending a request to the end of its response. */
    void recordServiceTime(Duration time) {
        synchronized (mLock) {
            mAverageServiceNanos +=
                    mAverageServiceNanos == 0
                            ? time.toNanos()
                            : (time.toNanos() - mAverageServiceNanos) * SERVICE_TIME_WEIGHT;
        }
    }

    /** Returns the number of queued requests. */
    int size() {
        synchronized (mLock) {
            return mQueue.size();
        }
    }

    private void offer(QueuedRequest queued, List<Runnable> callbacks) {
        Duration now = mClock.now();
        if (mQueue.size() > 0) {
            Duration wait = estimatedWait(now, queued);
            if (now.plus(wait).plus(serviceTime()).compareTo(queued.deadline()) > 0) {
                callbacks.add(() -> queued.onRefused(deadlineRefusal(wait)));
                return;
            }
        }
        FairQueue.Offer<QueuedRequest> offer = mQueue.offer(itemOf(queued));
        if (offer instanceof FairQueue.Offer.OrganisationFull<QueuedRequest>) {
            Duration wait = estimatedWait(now, queued);
            callbacks.add(() -> queued.onRefused(capacityRefusal("organisation_full", wait)));
        } else if (offer instanceof FairQueue.Offer.QueueFull<QueuedRequest>) {
            Duration wait = estimatedWait(now, queued);
            callbacks.add(() -> queued.onRefused(capacityRefusal("queue_full", wait)));
        } else if (offer instanceof FairQueue.Offer.Shed<QueuedRequest> shed) {
            QueuedRequest shedRequest = shed.value();
            Duration wait = estimatedWait(now, shedRequest);
            callbacks.add(() -> shedRequest.onRefused(capacityRefusal("shed", wait)));
        }
        grantReady(callbacks);
    }

    private void grantReady(List<Runnable> callbacks) {
        for (Optional<FairQueue.Item<QueuedRequest>> item = mQueue.poll();
                item.isPresent();
                item = mQueue.poll()) {
            QueuedRequest queued = item.get().value();
            if (queued.isAbandoned()) {
                callbacks.add(() -> queued.onRefused(deadlineRefusal(Duration.ZERO)));
                continue;
            }
            PlacementResult placement = mPlacer.place(queued);
            if (placement instanceof PlacementResult.NoCapacity) {
                mQueue.requeue(item.get());
                return;
            }
            if (placement instanceof PlacementResult.Placed placed) {
                placed.attempt().target().requestStarted();
                recordTurn(item.get().priority());
                callbacks.add(() -> queued.onGranted(placed.attempt()));
            } else {
                callbacks.add(() -> queued.onRefused(NO_ENDPOINT));
            }
        }
    }

    private void recordTurn(Priority priority) {
        Duration now = mClock.now();
        mQueue.recordTurn(priority);
        mTotalRate.add(now);
        rateOf(priority).add(now);
    }

    private void refuseExpired(List<Runnable> callbacks) {
        Duration earliestCompletion = mClock.now().plus(serviceTime());
        for (QueuedRequest queued :
                mQueue.removeIf(
                        request ->
                                request.isAbandoned()
                                        || request.deadline().compareTo(earliestCompletion) < 0)) {
            Duration wait = estimatedWait(mClock.now(), queued);
            callbacks.add(() -> queued.onRefused(deadlineRefusal(wait)));
        }
    }

    /**
     * Returns the estimated time until a new request like this one is granted, by the recent
     * dispatch rates; zero if no request was dispatched recently.
     */
    private Duration estimatedWait(Duration now, QueuedRequest queued) {
        RoutedRequest request = queued.request();
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
        return Refusal.overloaded(
                "deadline", "the request can't complete before its deadline", retryAfter(wait));
    }

    private static Refusal capacityRefusal(String code, Duration wait) {
        return Refusal.overloaded(code, "too many queued requests", retryAfter(wait));
    }

    private static Duration retryAfter(Duration wait) {
        Duration atLeastMin = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
        return atLeastMin.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : atLeastMin;
    }

    private static FairQueue.Item<QueuedRequest> itemOf(QueuedRequest queued) {
        RoutedRequest request = queued.request();
        Organisation organisation = request.organisation();
        return new FairQueue.Item<>(
                queued,
                request.route().priority(),
                organisation.name(),
                organisation.share(),
                organisation.queueLimit(),
                request.body().remaining());
    }
}
