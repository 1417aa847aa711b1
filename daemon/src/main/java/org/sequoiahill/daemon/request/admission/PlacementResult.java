package org.sequoiahill.daemon.request.admission;

import org.sequoiahill.daemon.request.Attempt;

/** Result of the search for an endpoint that can serve a request now. */
public sealed interface PlacementResult {
    /**
     * An endpoint with capacity was found.
     *
     * @param attempt attempt to make at the endpoint
     */
    record Placed(Attempt attempt) implements PlacementResult {}

    /** No known endpoint has capacity now. */
    record NoCapacity() implements PlacementResult {}

    /** No endpoint is known. */
    record NoEndpoint() implements PlacementResult {}

    /** Searches for endpoints that can serve requests. */
    @FunctionalInterface
    interface Placer {
        /** Searches for an endpoint with capacity for a request. */
        PlacementResult place(QueuedRequest request);
    }
}
