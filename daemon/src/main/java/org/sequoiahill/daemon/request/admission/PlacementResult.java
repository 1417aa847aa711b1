package org.sequoiahill.daemon.request.admission;

import org.sequoiahill.daemon.request.Attempt;

/** Result of the search for an endpoint or another data centre that can serve a request now. */
public sealed interface PlacementResult {
    /**
     * A target with capacity was found.
     *
     * @param attempt attempt to make at the target
     */
    record Placed(Attempt attempt) implements PlacementResult {}

    /** Targets are known, but none can be sent the request now. */
    record NoCapacity() implements PlacementResult {}

    /** No target is known. */
    record NoEndpoint() implements PlacementResult {}

    /** Searches for targets that can serve requests. */
    @FunctionalInterface
    interface Placer {
        /** Searches for a target with capacity for a request. */
        PlacementResult place(QueuedRequest request);
    }
}
