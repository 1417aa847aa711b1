package org.sequoiahill.daemon.request.direct;

import java.time.Duration;

/** Records completed requests. */
@FunctionalInterface
public interface RequestLog {
    /**
     * Records a completed request.
     *
     * @param entry routing, attempts and outcome of the request
     */
    void requestCompleted(Entry entry);

    /**
     * Record of one request from its arrival to its end.
     *
     * @param id id of the request
     * @param route name of the route, empty if none matched
     * @param organisation name of the caller's organisation, empty if unknown
     * @param tableNumber number of the routing table that the request was routed with
     * @param stateIndex index of the fleet state that the request was routed with
     * @param status HTTP status sent to the caller, 0 if none was sent
     * @param outcome machine-readable outcome
     * @param answeredBy id of the endpoint whose response was forwarded, the first one if a stream
     *     was resumed at another; empty if no response was forwarded
     * @param attempts endpoint, load, result, duration and connection of each attempt, and denials
     *     of the retry budget, in order
     * @param queued time in the queue before the first attempt, zero if none was made
     * @param time time from arrival to end
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
