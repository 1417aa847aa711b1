package org.sequoiahill.daemon.request.admission;

import org.sequoiahill.daemon.request.Attempt;

/** Where a request can go now. */
public sealed interface PlacementResult {
    /**
     * To a place that has room.
     *
     * @param attempt attempt to make there
     */
    record Placed(Attempt attempt) implements PlacementResult {}

    /** Nowhere yet: places exist and have no room. */
    record NoCapacity() implements PlacementResult {}

    /** Nowhere: no place is known. */
    record NoEndpoint() implements PlacementResult {}

    /** Finds places for requests. */
    @FunctionalInterface
    interface Placer {
        /** Returns where a request can go now. */
        PlacementResult place(QueuedRequest ticket);
    }
}
