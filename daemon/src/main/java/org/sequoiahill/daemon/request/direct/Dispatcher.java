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
import org.sequoiahill.daemon.process.time.DelayedRunner;
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
    private static final Duration RECHECK = Duration.ofMillis(20);

    /** Least pause that a refused caller is told. */
    private static final Duration LEAST_RETRY = Duration.ofMillis(400);

    /** Random part of the pause, so that refused callers don't come back together. */
    private static final Duration RETRY_SPREAD = Duration.ofMillis(800);

    /** Pause after a full endpoint turned a request away. */
    private static final Duration TURNED_AWAY_PAUSE = Duration.ofMillis(80);

    /** Pause after an address answered for another endpoint, until reports tell what is there. */
    private static final Duration MISDIRECTED_PAUSE = Duration.ofSeconds(2);

    private final Object mLock = new Object();
    private final Supplier<FleetSnapshot> mPicture;
    private final MonotonicClock mClock;
    private final RandomGenerator mRandom;
    private final DelayedRunner mRunner;
    private final Placement mPlacement;
    private final Map<Start, EndpointStatus> mStatuses = new HashMap<>();
    private final Map<String, PriorityQueue<Waiting>> mQueues = new HashMap<>();
    private final Map<String, ReturnForecast> mForecasts = new HashMap<>();
    private long mArrivals;
    private int mWaiting;
    private boolean mIsRecheckDue;

    private Dispatcher(
            Supplier<FleetSnapshot> picture,
            DirectSettings settings,
            MonotonicClock clock,
            RandomGenerator random,
            DelayedRunner runner) {
        mPicture = picture;
        mClock = clock;
        mRandom = random;
        mRunner = runner;
        mPlacement = Placement.of(settings, random, this::statusOf);
    }

    /** Returns a dispatcher of one entry. */
    public static Dispatcher of(
            Supplier<FleetSnapshot> picture,
            DirectSettings settings,
            MonotonicClock clock,
            RandomGenerator random,
            DelayedRunner runner) {
        return new Dispatcher(picture, settings, clock, random, runner);
    }

    private record Start(String id, long startedAt) {}

    private record Waiting(Ticket ticket, long arrival) {
        static final Comparator<Waiting> ORDER =
                Comparator.comparingInt((Waiting waiting) -> waiting.ticket().priority())
                        .thenComparing((Waiting waiting) -> waiting.ticket().isLate())
                        .thenComparing(Comparator.comparingLong(Waiting::arrival).reversed());
    }

    /** Asks for a place; the ticket hears of it on this thread or a later one. */
    public void submit(Ticket ticket) {
        synchronized (mLock) {
            queueOf(ticket.service()).add(new Waiting(ticket, mArrivals++));
            mWaiting++;
        }
        pump(ticket.service());
    }

    /**
     * Returns whether a request that an endpoint hasn't begun must not begin there any more, since
     * the endpoint has an older version than the one that is due.
     */
    boolean isOutdated(Ticket ticket, EndpointInfo endpoint) {
        return mPlacement.isOutdated(ticket, endpoint, mPicture.get(), mClock.now());
    }

    /** Returns how many requests wait. */
    public int waiting() {
        synchronized (mLock) {
            return mWaiting;
        }
    }

    /** Looks at all waiting requests again, since endpoints have changed. */
    public void refresh() {
        synchronized (mLock) {
            forgetEndedStarts();
        }
        pumpAll();
    }

    private void pumpAll() {
        List<String> services;
        synchronized (mLock) {
            services = List.copyOf(mQueues.keySet());
        }
        services.forEach(this::pump);
    }

    /** Takes loads of endpoints as their agents tell them. */
    public void told(Collection<ToldLoad> loads) {
        FleetSnapshot picture = mPicture.get();
        Set<String> services = new HashSet<>();
        synchronized (mLock) {
            for (ToldLoad load : loads) {
                picture.endpointAt(load.engine())
                        .ifPresent(
                                endpoint -> {
                                    statusOf(endpoint).told(load);
                                    services.add(endpoint.service());
                                });
            }
        }
        services.forEach(this::pump);
    }

    void answered(EndpointStatus status, long number, EndpointAnswer answer) {
        synchronized (mLock) {
            status.answered(number, answer, mClock.now());
        }
    }

    void ended(EndpointInfo endpoint, EndpointStatus status, long number, Place.End end) {
        synchronized (mLock) {
            Duration now = mClock.now();
            status.ended(number, now);
            switch (end) {
                case SUCCEEDED -> status.succeeded();
                case FAILED -> status.failed(now);
                case UNREACHABLE -> status.unreachable(now);
                case TURNED_AWAY -> status.turnedAway(now, TURNED_AWAY_PAUSE);
                case MISDIRECTED -> status.turnedAway(now, MISDIRECTED_PAUSE);
                case CANCELLED -> {}
                default -> throw new IllegalStateException("unknown end " + end);
            }
        }
        pump(endpoint.service());
    }

    private void pump(String service) {
        List<Runnable> outcomes = new ArrayList<>();
        synchronized (mLock) {
            PriorityQueue<Waiting> queue = queueOf(service);
            FleetSnapshot picture = mPicture.get();
            Duration now = mClock.now();
            List<Waiting> kept = new ArrayList<>();
            while (!queue.isEmpty()) {
                Waiting waiting = queue.poll();
                if (!settle(waiting.ticket(), picture, now, outcomes)) {
                    kept.add(waiting);
                }
            }
            queue.addAll(kept);
            mWaiting -= outcomes.size();
            scheduleRecheck(!kept.isEmpty());
        }
        outcomes.forEach(Runnable::run);
    }

    /** Returns whether a ticket got a place or a refusal. */
    private boolean settle(
            Ticket ticket, FleetSnapshot picture, Duration now, List<Runnable> outcomes) {
        if (ticket.isAbandoned()) {
            outcomes.add(() -> ticket.refused(new Ticket.Refused("caller_gone", Duration.ZERO)));
            return true;
        }
        Placement.Choice choice = mPlacement.choose(ticket, picture, now);
        if (choice.endpoint().isPresent()) {
            forecastOf(ticket).served();
            Place place = take(choice, picture, now, ticket.promptTokens());
            outcomes.add(() -> ticket.granted(place));
            return true;
        }
        if (choice.candidates() == 0) {
            Ticket.Refused refusal = refusal("no_endpoint", untilReturn(ticket, now));
            outcomes.add(() -> ticket.refused(refusal));
            return true;
        }
        forecastOf(ticket).served();
        boolean isPausedTooLong =
                choice.pausedUntil()
                        .filter(end -> end.compareTo(ticket.giveUpAt()) >= 0)
                        .isPresent();
        if (isPausedTooLong) {
            Duration pause = choice.pausedUntil().orElseThrow().minus(now);
            Ticket.Refused refusal = refusal("endpoints_pause", pause);
            outcomes.add(() -> ticket.refused(refusal));
            return true;
        }
        if (now.compareTo(ticket.giveUpAt()) >= 0) {
            Ticket.Refused refusal = refusal("no_room", LEAST_RETRY);
            outcomes.add(() -> ticket.refused(refusal));
            return true;
        }
        return false;
    }

    private Place take(
            Placement.Choice choice, FleetSnapshot picture, Duration now, int promptTokens) {
        EndpointInfo endpoint = choice.endpoint().orElseThrow();
        EndpointStatus status = statusOf(endpoint);
        int load = (int) status.load(Placement.entries(picture), now);
        if (mPlacement.isCold(endpoint, picture, now)) {
            status.coldPace().sent(now);
        }
        return new Place(
                this, endpoint, status, status.sent(now, promptTokens), choice.version(), load);
    }

    private Ticket.Refused refusal(String reason, Duration pause) {
        long spread = (long) (RETRY_SPREAD.toMillis() * mRandom.nextDouble());
        return new Ticket.Refused(reason, pause.plusMillis(spread));
    }

    /** Returns how long it will probably last that no endpoint may run a request. */
    private Duration untilReturn(Ticket ticket, Duration now) {
        boolean isAnyVersionServed = ticket.version().isEmpty();
        return isAnyVersionServed && !ticket.model().isEmpty()
                ? forecastOf(ticket).gone(now)
                : LEAST_RETRY;
    }

    private ReturnForecast forecastOf(Ticket ticket) {
        return mForecasts.computeIfAbsent(
                ticket.service(), service -> ReturnForecast.of(LEAST_RETRY));
    }

    private void scheduleRecheck(boolean isAnyWaiting) {
        if (!isAnyWaiting || mIsRecheckDue) {
            return;
        }
        mIsRecheckDue = true;
        mRunner.runAfter(
                RECHECK,
                () -> {
                    synchronized (mLock) {
                        mIsRecheckDue = false;
                    }
                    pumpAll();
                });
    }

    private EndpointStatus statusOf(EndpointInfo endpoint) {
        return mStatuses.computeIfAbsent(
                new Start(endpoint.id(), endpoint.startedAt()), start -> new EndpointStatus());
    }

    private void forgetEndedStarts() {
        FleetSnapshot picture = mPicture.get();
        Set<Start> known = new HashSet<>();
        picture.endpointsByService()
                .values()
                .forEach(
                        list ->
                                list.forEach(
                                        each -> known.add(new Start(each.id(), each.startedAt()))));
        Iterator<Map.Entry<Start, EndpointStatus>> all = mStatuses.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Start, EndpointStatus> entry = all.next();
            if (!known.contains(entry.getKey()) && entry.getValue().running() == 0) {
                all.remove();
            }
        }
    }

    private PriorityQueue<Waiting> queueOf(String service) {
        return mQueues.computeIfAbsent(service, name -> new PriorityQueue<>(Waiting.ORDER));
    }
}
