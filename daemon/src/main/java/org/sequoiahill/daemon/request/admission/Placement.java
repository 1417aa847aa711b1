package org.sequoiahill.daemon.request.admission;

import org.sequoiahill.daemon.request.Attempt;

/** Where a request can go now. */
public sealed interface Placement {
    /**
     * To a place that has room.
     *
     * @param attempt attempt to make there
     */
    record At(Attempt attempt) implements Placement {}

    /** Nowhere yet: places exist and have no room. */
    record Full() implements Placement {}

    /** Nowhere: no place is known. */
    record Nowhere() implements Placement {}

    /** Finds places for requests. */
    @FunctionalInterface
    interface Placer {
        /** Returns where a request can go now. */
        Placement place(Ticket ticket);
    }
}
