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
    private static final Duration LEAST_RETRY_AFTER = Duration.ofSeconds(1);

    private static final Refusal NO_ENDPOINT =
            Refusal.unavailable("no_endpoint", "no data centre has an endpoint of the service");

    private final Object mLock = new Object();
    private final MonotonicClock mClock;
    private final Placement.Placer mPlacer;
    private final FairQueue<Ticket> mQueue;
    private final DrainRate mRate = new DrainRate();
    private final Map<Priority, DrainRate> mRates = new EnumMap<>(Priority.class);
    private double mServiceNanos;

    ServiceQueue(
            MonotonicClock clock,
            Placement.Placer placer,
            int maxItems,
            long maxBytesPerOrganisation) {
        mClock = clock;
        mPlacer = placer;
        mQueue = new FairQueue<>(maxItems, maxBytesPerOrganisation);
        for (Priority priority : Priority.values()) {
            mRates.put(priority, new DrainRate());
        }
    }

    /** Grants, queues or refuses a request. */
    void submit(Ticket ticket) {
        List<Runnable> calls = new ArrayList<>();
        synchronized (mLock) {
            admit(ticket, calls);
        }
        calls.forEach(Runnable::run);
    }

    /** Queues a request that had its turn and was not taken, before others of its organisation. */
    void putBack(Ticket ticket) {
        List<Runnable> calls = new ArrayList<>();
        synchronized (mLock) {
            mQueue.putBack(itemOf(ticket));
            grant(calls);
        }
        calls.forEach(Runnable::run);
    }

    /** Grants what has room now and refuses what can't make its deadline any more. */
    void pump() {
        List<Runnable> calls = new ArrayList<>();
        synchronized (mLock) {
            if (mQueue.size() == 0) {
                return;
            }
            refuseLate(calls);
            grant(calls);
        }
        calls.forEach(Runnable::run);
    }

    /** Notes how long a granted request took. */
    void noteServiceTime(Duration time) {
        synchronized (mLock) {
            mServiceNanos +=
                    mServiceNanos == 0
                            ? time.toNanos()
                            : (time.toNanos() - mServiceNanos) * SERVICE_TIME_WEIGHT;
        }
    }

    /** Returns the requests that wait. */
    int size() {
        synchronized (mLock) {
            return mQueue.size();
        }
    }

    private void admit(Ticket ticket, List<Runnable> calls) {
        Duration now = mClock.now();
        if (mQueue.size() > 0) {
            Duration wait = waitOf(now, ticket);
            if (now.plus(wait).plus(serviceTime()).compareTo(ticket.deadline()) > 0) {
                calls.add(() -> ticket.refused(late(wait)));
                return;
            }
        }
        FairQueue.Offer<Ticket> offer = mQueue.offer(itemOf(ticket));
        if (offer instanceof FairQueue.Offer.OrganisationFull<Ticket>) {
            Duration wait = waitOf(now, ticket);
            calls.add(() -> ticket.refused(full("organisation_full", wait)));
        } else if (offer instanceof FairQueue.Offer.QueueFull<Ticket>) {
            Duration wait = waitOf(now, ticket);
            calls.add(() -> ticket.refused(full("queue_full", wait)));
        } else if (offer instanceof FairQueue.Offer.Shed<Ticket> shed) {
            Ticket victim = shed.value();
            Duration wait = waitOf(now, victim);
            calls.add(() -> victim.refused(full("shed", wait)));
        }
        grant(calls);
    }

    private void grant(List<Runnable> calls) {
        for (Optional<FairQueue.Item<Ticket>> item = mQueue.poll();
                item.isPresent();
                item = mQueue.poll()) {
            Ticket ticket = item.get().value();
            if (ticket.isAbandoned()) {
                calls.add(() -> ticket.refused(late(Duration.ZERO)));
                continue;
            }
            Placement placement = mPlacer.place(ticket);
            if (placement instanceof Placement.Full) {
                mQueue.putBack(item.get());
                return;
            }
            if (placement instanceof Placement.At at) {
                at.attempt().target().began();
                noteTurn(item.get().priority());
                calls.add(() -> ticket.granted(at.attempt()));
            } else {
                calls.add(() -> ticket.refused(NO_ENDPOINT));
            }
        }
    }

    private void noteTurn(Priority priority) {
        Duration now = mClock.now();
        mQueue.noteTurn(priority);
        mRate.add(now);
        rateOf(priority).add(now);
    }

    private void refuseLate(List<Runnable> calls) {
        Duration latest = mClock.now().plus(serviceTime());
        for (Ticket ticket :
                mQueue.removeIf(t -> t.isAbandoned() || t.deadline().compareTo(latest) < 0)) {
            Duration wait = waitOf(mClock.now(), ticket);
            calls.add(() -> ticket.refused(late(wait)));
        }
    }

    /** Returns the time until a new request like this one has its turn, by the queue's own rate. */
    private Duration waitOf(Duration now, Ticket ticket) {
        RoutedRequest request = ticket.request();
        Priority priority = request.route().priority();
        Organisation organisation = request.organisation();
        int own = mQueue.aheadInClass(priority, organisation.name(), organisation.share());
        int all = own + mQueue.aheadInHigherClasses(priority);
        double byAll = seconds(all, mRate.perSecond(now));
        double byClass = seconds(own, rateOf(priority).perSecond(now));
        return Duration.ofNanos((long) (Math.max(byAll, byClass) * 1e9));
    }

    private static double seconds(int turns, double perSecond) {
        return perSecond == 0 ? 0 : turns / perSecond;
    }

    private Duration serviceTime() {
        return Duration.ofNanos((long) mServiceNanos);
    }

    private DrainRate rateOf(Priority priority) {
        DrainRate rate = mRates.get(priority);
        if (rate == null) {
            throw new IllegalStateException("every priority has a rate");
        }
        return rate;
    }

    private static Refusal late(Duration wait) {
        return Refusal.overloaded("deadline", "the deadline can't be met", retryAfter(wait));
    }

    private static Refusal full(String code, Duration wait) {
        return Refusal.overloaded(code, "too many requests wait", retryAfter(wait));
    }

    private static Duration retryAfter(Duration wait) {
        Duration least = wait.compareTo(LEAST_RETRY_AFTER) < 0 ? LEAST_RETRY_AFTER : wait;
        return least.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : least;
    }

    private static FairQueue.Item<Ticket> itemOf(Ticket ticket) {
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
