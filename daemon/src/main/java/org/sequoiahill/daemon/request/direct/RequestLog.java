package org.sequoiahill.daemon.request.direct;

import java.time.Duration;

/** Tells what was decided about a request. */
@FunctionalInterface
public interface RequestLog {
    /**
     * Notes the end of a request.
     *
     * @param line what decided its outcome
     */
    void requestCompleted(Entry line);

    /**
     * One request from its arrival to its end.
     *
     * @param id id of the request
     * @param route name of the route, empty where none was found
     * @param organisation name of the caller's organisation, empty where none is known
     * @param tableNumber number of the routing table that decided
     * @param stateIndex index of the fleet's state that decided
     * @param status status that the caller got, 0 where it got none
     * @param outcome short name of the outcome
     * @param answeredBy endpoint whose head the answer bears, empty where the entry gave its own
     * @param sendings what became of each sending, in order, and on what connection it went
     * @param queued time in the queue
     * @param time time from the arrival to the end
     */
    record Entry(
            String id,
            String route,
            String organisation,
            long tableNumber,
            long stateIndex,
            int status,
            String outcome,
            String answeredBy,
            String attempts,
            Duration queued,
            Duration time) {}
}
