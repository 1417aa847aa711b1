package org.sequoiahill.daemon.request;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.sequoiahill.daemon.process.directory.Endpoint;

/** Chooses the less loaded of two endpoints drawn at random. */
public final class EndpointChooser {
    private final RandomGenerator mRandom;

    private EndpointChooser(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns a chooser that draws from {@code random}. */
    public static EndpointChooser of(RandomGenerator random) {
        return new EndpointChooser(random);
    }

    /** Returns the endpoint to ask, if there is any. */
    public Optional<Endpoint> choose(List<Endpoint> endpoints) {
        if (endpoints.isEmpty()) {
            return Optional.empty();
        }
        Endpoint first = endpoints.get(mRandom.nextInt(endpoints.size()));
        Endpoint second = endpoints.get(mRandom.nextInt(endpoints.size()));
        return Optional.of(load(first) <= load(second) ? first : second);
    }

    private static double load(Endpoint endpoint) {
        return (double) endpoint.sent() / Math.max(1, endpoint.announcement().getCapacity());
    }
}
