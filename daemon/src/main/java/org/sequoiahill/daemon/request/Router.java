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
import org.sequoiahill.daemon.process.directory.DataCentreTable.DataCentreTarget;
import org.sequoiahill.daemon.process.directory.Endpoint;
import org.sequoiahill.daemon.process.directory.EndpointDirectory;
import org.sequoiahill.daemon.process.directory.RoutingTarget;
import org.sequoiahill.daemon.process.settings.DaemonSettings.PeerVm;
import org.sequoiahill.daemon.process.time.MonotonicClock;
import org.sequoiahill.daemon.request.admission.PlacementResult;
import org.sequoiahill.daemon.request.admission.QueuedRequest;

/**
 * Chooses the target of the next attempt of a request: an endpoint of this data centre or, if none
 * has capacity, an entry of another one. A forwarded request is not forwarded again.
 */
public final class Router implements PlacementResult.Placer {
    /** Bounds of the random time for which a target receives no request after {@link #markFull}. */
    private static final Duration MIN_FULL_BACKOFF = Duration.ofMillis(15);

    private static final Duration MAX_FULL_BACKOFF = Duration.ofMillis(45);

    /**
     * Time for which an entry's address or an endpoint receives no request after {@link
     * #markUnreachable}.
     */
    private static final Duration UNREACHABLE_BACKOFF = Duration.ofSeconds(1);

    /**
     * Utilisation of another data centre below which it receives requests that the endpoints of
     * this one have no capacity for. If this one has no endpoint of the service, any data centre
     * with capacity receives them.
     */
    private static final double MAX_REMOTE_UTILISATION = 0.8;

    private final Identity mIdentity;
    private final ConfigurationView mView;
    private final EndpointDirectory mDirectory;
    private final DataCentreTable mTable;
    private final List<PeerVm> mEntries;
    private final MonotonicClock mClock;
    private final EndpointChooser mChooser;
    private final RandomGenerator mRandom;
    private final Map<String, Duration> mUnreachableEntries = new ConcurrentHashMap<>();
    private final AtomicLong mAttempts = new AtomicLong();

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

    /** Returns the name of this entry's data centre. */
    public String dataCentre() {
        return mIdentity.dataCentre();
    }

    @Override
    public PlacementResult place(QueuedRequest queued) {
        RoutedRequest request = queued.request();
        List<Endpoint> serving = localEndpoints(request.service().service());
        List<Endpoint> untried = untried(serving, queued.triedVms());
        Optional<Endpoint> localEndpoint =
                mChooser.choose(withCapacity(untried), request.prefixHash());
        int number = queued.attempts() + 1;
        if (localEndpoint.isPresent()) {
            return new PlacementResult.Placed(attemptAt(localEndpoint.get(), number));
        }
        if (request.isForwarded()) {
            return serving.isEmpty()
                    ? new PlacementResult.NoEndpoint()
                    : new PlacementResult.NoCapacity();
        }
        return placeInOtherDataCentre(request.service().service(), !serving.isEmpty(), number);
    }

    /** Returns an attempt at an eligible endpoint of this data centre with capacity, if any. */
    Optional<Attempt> attemptInThisDataCentre(
            RoutedRequest request, Predicate<Endpoint> eligible, int number) {
        List<Endpoint> endpoints =
                localEndpoints(request.service().service()).stream().filter(eligible).toList();
        return mChooser.choose(withCapacity(endpoints), request.prefixHash())
                .map(endpoint -> attemptAt(endpoint, number));
    }

    /**
     * Backs off from an endpoint that refused a request for lack of capacity, or from another data
     * centre whose entry refused a request for any reason, provided that another target may accept
     * the request.
     */
    void markFull(RoutingTarget target) {
        long jitterRange = MAX_FULL_BACKOFF.minus(MIN_FULL_BACKOFF).toNanos();
        target.load()
                .markFull(
                        mClock.now()
                                .plus(MIN_FULL_BACKOFF)
                                .plusNanos(mRandom.nextLong(jitterRange)));
    }

    /**
     * Backs off from an attempt's address that was unreachable, or from an endpoint that refused
     * the attempt for another reason than lack of capacity.
     */
    void markUnreachable(Attempt attempt) {
        Duration until = mClock.now().plus(UNREACHABLE_BACKOFF);
        if (attempt.isRemote()) {
            mUnreachableEntries.put(attempt.address(), until);
        } else {
            attempt.target().load().pauseUntil(until);
        }
    }

    private PlacementResult placeInOtherDataCentre(
            String service, boolean isServedHere, int number) {
        List<DataCentreTarget> otherDataCentres =
                mTable.offering(service).stream()
                        .filter(target -> !mView.current().isOutOfService(target.name()))
                        .filter(target -> anyEntryOf(target.name()).isPresent())
                        .toList();
        if (otherDataCentres.isEmpty()) {
            return isServedHere
                    ? new PlacementResult.NoCapacity()
                    : new PlacementResult.NoEndpoint();
        }
        List<DataCentreTarget> candidates =
                withCapacity(otherDataCentres).stream()
                        .filter(
                                target ->
                                        !isServedHere
                                                || target.load().utilisation()
                                                        < MAX_REMOTE_UTILISATION)
                        .toList();
        return mChooser.chooseByFreeCapacity(candidates)
                .flatMap(target -> anyEntryOf(target.name()).map(e -> attemptAt(target, e, number)))
                .<PlacementResult>map(PlacementResult.Placed::new)
                .orElseGet(PlacementResult.NoCapacity::new);
    }

    private List<Endpoint> localEndpoints(String service) {
        if (mView.current().isOutOfService(mIdentity.dataCentre())) {
            return List.of();
        }
        return mDirectory.serving(service);
    }

    /** Returns the endpoints that were not tried yet, or all if every one was tried. */
    private static List<Endpoint> untried(List<Endpoint> serving, Set<String> tried) {
        if (tried.isEmpty()) {
            return serving;
        }
        List<Endpoint> untried = serving.stream().filter(e -> !tried.contains(e.vm())).toList();
        return untried.isEmpty() ? serving : untried;
    }

    private <P extends RoutingTarget> List<P> withCapacity(List<P> targets) {
        Duration now = mClock.now();
        return targets.stream().filter(target -> target.load().hasCapacity(now)).toList();
    }

    private Optional<String> anyEntryOf(String dataCentre) {
        Duration now = mClock.now();
        List<String> addresses =
                mEntries.stream()
                        .filter(entry -> entry.dataCentre().equals(dataCentre))
                        .filter(entry -> !mTable.isDraining(entry.vm()))
                        .map(entry -> entry.data().toString())
                        .filter(address -> !isUnreachable(address, now))
                        .toList();
        if (addresses.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(addresses.get(mRandom.nextInt(addresses.size())));
    }

    private boolean isUnreachable(String address, Duration now) {
        Duration until = mUnreachableEntries.get(address);
        return until != null && now.compareTo(until) < 0;
    }

    private Attempt attemptAt(Endpoint endpoint, int number) {
        return new Attempt(number, nextId(), endpoint.announcement().getDataAddress(), endpoint);
    }

    private Attempt attemptAt(DataCentreTarget target, String address, int number) {
        return new Attempt(number, nextId(), address, target);
    }

    private String nextId() {
        return mIdentity.incarnation() + "-" + mAttempts.incrementAndGet();
    }
}
