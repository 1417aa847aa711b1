package org.sequoiahill.daemon.request;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.process.directory.Hashes;
import org.sequoiahill.daemon.process.directory.RoutingTarget;

/**
 * Chooses among places that have room: the one that probably caches the prompt's prefix, unless it
 * has more than its part of the load, else the less loaded of two drawn at random.
 */
public final class EndpointChooser {
    /** Load of the place with the prefix over the mean load, as a factor, that is borne. */
    private static final double MAX_AFFINITY_LOAD = 1.25;

    /** Places, in the order of their rank for a prefix, that are considered for it. */
    private static final int AFFINITY_CANDIDATES = 2;

    private final RandomGenerator mRandom;
    private final RequestPolicy.Choice mChoice;
    private final AtomicInteger mNextIndex = new AtomicInteger();

    private EndpointChooser(RandomGenerator random, RequestPolicy.Choice choice) {
        mRandom = random;
        mChoice = choice;
    }

    /** Returns a chooser that draws from {@code random}. */
    public static EndpointChooser of(RandomGenerator random, RequestPolicy.Choice choice) {
        return new EndpointChooser(random, choice);
    }

    /**
     * Returns the place to ask, if there is any.
     *
     * @param places places that have room
     * @param prefix hash of the prompt's beginning, where it has one worth caching
     */
    public <P extends RoutingTarget> Optional<P> choose(List<P> places, Optional<Long> prefix) {
        if (places.isEmpty()) {
            return Optional.empty();
        }
        return switch (mChoice) {
            case ROUND_ROBIN ->
                    Optional.of(
                            places.get(Math.floorMod(mNextIndex.getAndIncrement(), places.size())));
            case LEAST_CONNECTIONS ->
                    places.stream().min(Comparator.comparingInt(p -> p.load().sent()));
            case TWO_CHOICES -> {
                Optional<P> cached = prefix.flatMap(hash -> byPrefixAffinity(places, hash));
                yield cached.isPresent() ? cached : Optional.of(lessLoadedOfTwo(places));
            }
        };
    }

    /** Returns a place drawn with the room that it has as its weight. */
    public <P extends RoutingTarget> Optional<P> chooseByFreeCapacity(List<P> places) {
        long total = 0;
        for (P place : places) {
            total += freeCapacityOf(place);
        }
        if (total == 0) {
            return Optional.empty();
        }
        long drawn = mRandom.nextLong(total);
        for (P place : places) {
            drawn -= freeCapacityOf(place);
            if (drawn < 0) {
                return Optional.of(place);
            }
        }
        throw new IllegalStateException("the weights sum up to the total");
    }

    private static long freeCapacityOf(RoutingTarget place) {
        return Math.max(0, place.load().limit() - place.load().running());
    }

    private <P extends RoutingTarget> P lessLoadedOfTwo(List<P> places) {
        P first = places.get(mRandom.nextInt(places.size()));
        P second = places.get(mRandom.nextInt(places.size()));
        return first.load().utilisation() <= second.load().utilisation() ? first : second;
    }

    private static <P extends RoutingTarget> Optional<P> byPrefixAffinity(
            List<P> places, long prefix) {
        double mean = places.stream().mapToDouble(p -> p.load().utilisation()).average().orElse(0);
        return places.stream()
                .sorted(Comparator.comparingLong((P p) -> rank(prefix, p.name())).reversed())
                .limit(AFFINITY_CANDIDATES)
                .filter(p -> isWithinBound(p, mean))
                .findFirst();
    }

    private static boolean isWithinBound(RoutingTarget place, double mean) {
        double one = 1.0 / Math.max(1, place.load().limit());
        return place.load().utilisation() <= MAX_AFFINITY_LOAD * mean + one;
    }

    private static long rank(long prefix, String name) {
        return Hashes.mix(prefix ^ Hashes.of(name));
    }
}
