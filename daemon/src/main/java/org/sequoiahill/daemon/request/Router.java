package org.sequoiahill.daemon.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.process.config.ConfigurationView;
import org.sequoiahill.daemon.process.control.Identity;
import org.sequoiahill.daemon.process.directory.DataCentreTable;
import org.sequoiahill.daemon.process.directory.DataCentreTable.DataCentrePlace;
import org.sequoiahill.daemon.process.directory.Endpoint;
import org.sequoiahill.daemon.process.directory.EndpointDirectory;
import org.sequoiahill.daemon.process.directory.Place;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.admission.Placement;
import org.sequoiahill.daemon.request.admission.Ticket;

/** Finds where the next attempt of a request goes: an endpoint here, else an entry elsewhere. */
public final class Router implements Placement.Placer {
    /** Time for which a place that refused for want of room is left alone, at least and at most. */
    private static final Duration LEAST_FULL = Duration.ofMillis(15);

    private static final Duration MOST_FULL = Duration.ofMillis(45);

    /** Time for which a place that could not be reached is left alone. */
    private static final Duration UNREACHABLE = Duration.ofSeconds(1);

    /** Load of another data centre, as a share, up to which it takes what finds no room here. */
    private static final double SPILL_BOUND = 0.8;

    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final EndpointDirectory mDirectory;
    private final DataCentreTable mTable;
    private final List<PeerVm> mEntries;
    private final MonotonicClock mClock;
    private final EndpointChooser mChooser;
    private final RandomGenerator mRandom;
    private final Map<String, Duration> mShutEntries = new ConcurrentHashMap<>();
    private final AtomicLong mRequests = new AtomicLong();

    private Router(
            Identity identity,
            ConfigurationView view,
            EndpointDirectory directory,
            DataCentreTable table,
            List<PeerVm> entries,
            MonotonicClock clock,
            RandomGenerator random,
            RequestPolicy policy) {
        mIdentity = identity;
        mView = view;
        mDirectory = directory;
        mTable = table;
        mEntries = entries;
        mClock = clock;
        mChooser = EndpointChooser.of(random, policy.choice());
        mRandom = random;
    }

    /**
     * Returns a router of an entry.
     *
     * @param entries entries of all data centres
     */
    public static Router of(
            Identity identity,
            ConfigurationView view,
            EndpointDirectory directory,
            DataCentreTable table,
            List<PeerVm> entries,
            MonotonicClock clock,
            RandomGenerator random,
            RequestPolicy policy) {
        return new Router(identity, view, directory, table, entries, clock, random, policy);
    }

    /** Returns the data centre of this entry. */
    public String dataCentre() {
        return mIdentity.dataCentre();
    }

    @Override
    public Placement place(Ticket ticket) {
        RoutedRequest request = ticket.request();
        List<Endpoint> serving = servingHere(request.service().service());
        List<Endpoint> untried = untried(serving, ticket.tried());
        Optional<Endpoint> here = mChooser.choose(withRoom(untried), request.prefix());
        int number = ticket.attempts() + 1;
        if (here.isPresent()) {
            return new Placement.At(attemptAt(here.get(), number));
        }
        if (request.isPassedOn()) {
            return serving.isEmpty() ? new Placement.Nowhere() : new Placement.Full();
        }
        return elsewhere(request.service().service(), !serving.isEmpty(), number);
    }

    /** Returns an attempt at an endpoint of this data centre that is eligible and has room. */
    Optional<Attempt> here(RoutedRequest request, Predicate<Endpoint> eligible, int number) {
        List<Endpoint> endpoints =
                servingHere(request.service().service()).stream().filter(eligible).toList();
        return mChooser.choose(withRoom(endpoints), request.prefix())
                .map(endpoint -> attemptAt(endpoint, number));
    }

    /** Notes that a place has refused for want of room. */
    void noteFull(Place place) {
        long spread = MOST_FULL.minus(LEAST_FULL).toNanos();
        place.load().full(mClock.now().plus(LEAST_FULL).plusNanos(mRandom.nextLong(spread)));
    }

    /** Notes that an attempt's address could not be reached, or takes nothing any more. */
    void noteUnreachable(Attempt attempt) {
        Duration until = mClock.now().plus(UNREACHABLE);
        if (attempt.isHop()) {
            mShutEntries.put(attempt.address(), until);
        } else {
            attempt.place().load().shut(until);
        }
    }

    private Placement elsewhere(String service, boolean isServedHere, int number) {
        List<DataCentrePlace> others =
                mTable.offering(service).stream()
                        .filter(place -> !mView.current().isOutOfService(place.name()))
                        .filter(place -> entryOf(place.name()).isPresent())
                        .toList();
        if (others.isEmpty()) {
            return isServedHere ? new Placement.Full() : new Placement.Nowhere();
        }
        List<DataCentrePlace> fit =
                withRoom(others).stream()
                        .filter(place -> !isServedHere || place.load().share() < SPILL_BOUND)
                        .toList();
        return mChooser.chooseByRoom(fit)
                .flatMap(place -> entryOf(place.name()).map(e -> attemptAt(place, e, number)))
                .<Placement>map(Placement.At::new)
                .orElseGet(Placement.Full::new);
    }

    private List<Endpoint> servingHere(String service) {
        if (mView.current().isOutOfService(mIdentity.dataCentre())) {
            return List.of();
        }
        return mDirectory.serving(service);
    }

    /** Leaves out what was tried, unless nothing else serves. */
    private static List<Endpoint> untried(List<Endpoint> serving, Set<String> tried) {
        if (tried.isEmpty()) {
            return serving;
        }
        List<Endpoint> untried = serving.stream().filter(e -> !tried.contains(e.vm())).toList();
        return untried.isEmpty() ? serving : untried;
    }

    private <P extends Place> List<P> withRoom(List<P> places) {
        Duration now = mClock.now();
        return places.stream().filter(place -> place.load().hasRoom(now)).toList();
    }

    private Optional<String> entryOf(String dataCentre) {
        Duration now = mClock.now();
        List<String> addresses =
                mEntries.stream()
                        .filter(entry -> entry.dataCentre().equals(dataCentre))
                        .filter(entry -> !mTable.isDraining(entry.vm()))
                        .map(entry -> entry.data().toString())
                        .filter(address -> !isShut(address, now))
                        .toList();
        if (addresses.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(addresses.get(mRandom.nextInt(addresses.size())));
    }

    private boolean isShut(String address, Duration now) {
        Duration until = mShutEntries.get(address);
        return until != null && now.compareTo(until) < 0;
    }

    private Attempt attemptAt(Endpoint endpoint, int number) {
        return new Attempt(number, nextId(), endpoint.announcement().getDataAddress(), endpoint);
    }

    private Attempt attemptAt(DataCentrePlace place, String address, int number) {
        return new Attempt(number, nextId(), address, place);
    }

    private String nextId() {
        return mIdentity.incarnation() + "-" + mRequests.incrementAndGet();
    }
}
