package org.sequoiahill.daemon.request;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.process.directory.Hashes;
import org.sequoiahill.daemon.process.directory.RoutingTarget;

/**
 * Chooses a target among those with free capacity. By default, prefers one that probably has the
 * prompt's prefix cached unless it is loaded well above the mean, and otherwise takes the less
 * loaded of two random ones.
 */
public final class EndpointChooser {
    /**
     * A target is chosen by prefix only if its utilisation is at most this multiple of the mean,
     * plus the utilisation of one request.
     */
    private static final double MAX_AFFINITY_LOAD = 1.25;

    /**
     * Number of targets considered for a prefix, in descending order of a hash of the prefix and
     * the target's name.
     */
    private static final int AFFINITY_CANDIDATES = 2;

    private final RandomGenerator mRandom;
    private final RequestPolicy.Choice mChoice;
    private final AtomicInteger mNextIndex = new AtomicInteger();

    private EndpointChooser(RandomGenerator random, RequestPolicy.Choice choice) {
        mRandom = random;
        mChoice = choice;
    }

    /**
     * Returns a chooser.
     *
     * @param random source of randomness
     * @param choice how {@link #choose} chooses; {@link #chooseByFreeCapacity} doesn't depend on it
     */
    public static EndpointChooser of(RandomGenerator random, RequestPolicy.Choice choice) {
        return new EndpointChooser(random, choice);
    }

    /**
     * Returns the target to send to; empty if {@code targets} is empty.
     *
     * @param targets targets with free capacity
     * @param prefix hash of the prompt's beginning; empty if that is too short to be worth caching
     */
    public <P extends RoutingTarget> Optional<P> choose(List<P> targets, Optional<Long> prefix) {
        if (targets.isEmpty()) {
            return Optional.empty();
        }
        return switch (mChoice) {
            case ROUND_ROBIN ->
                    Optional.of(
                            targets.get(
                                    Math.floorMod(mNextIndex.getAndIncrement(), targets.size())));
            case LEAST_CONNECTIONS ->
                    targets.stream().min(Comparator.comparingInt(p -> p.load().sent()));
            case TWO_CHOICES -> {
                Optional<P> affine = prefix.flatMap(hash -> byPrefixAffinity(targets, hash));
                yield affine.isPresent() ? affine : Optional.of(lessLoadedOfTwo(targets));
            }
        };
    }

    /** Returns a random target, weighted by free capacity; empty if no target has any. */
    public <P extends RoutingTarget> Optional<P> chooseByFreeCapacity(List<P> targets) {
        long total = 0;
        for (P target : targets) {
            total += freeCapacityOf(target);
        }
        if (total == 0) {
            return Optional.empty();
        }
        long remaining = mRandom.nextLong(total);
        for (P target : targets) {
            remaining -= freeCapacityOf(target);
            if (remaining < 0) {
                return Optional.of(target);
            }
        }
        throw new IllegalStateException("the free capacities do not sum up to the total");
    }

    private static long freeCapacityOf(RoutingTarget target) {
        return Math.max(0, target.load().limit() - target.load().running());
    }

    private <P extends RoutingTarget> P lessLoadedOfTwo(List<P> targets) {
        P first = targets.get(mRandom.nextInt(targets.size()));
        P second = targets.get(mRandom.nextInt(targets.size()));
        return first.load().utilisation() <= second.load().utilisation() ? first : second;
    }

    private static <P extends RoutingTarget> Optional<P> byPrefixAffinity(
            List<P> targets, long prefix) {
        double mean = targets.stream().mapToDouble(p -> p.load().utilisation()).average().orElse(0);
        return targets.stream()
                .sorted(Comparator.comparingLong((P p) -> rank(prefix, p.name())).reversed())
                .limit(AFFINITY_CANDIDATES)
                .filter(p -> isWithinBound(p, mean))
                .findFirst();
    }

    private static boolean isWithinBound(RoutingTarget target, double mean) {
        double oneRequest = 1.0 / Math.max(1, target.load().limit());
        return target.load().utilisation() <= MAX_AFFINITY_LOAD * mean + oneRequest;
    }

    private static long rank(long prefix, String name) {
        return Hashes.mix(prefix ^ Hashes.of(name));
    }
}
