package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.List;

/**
 * Records requests at their end, including refused ones, but not those whose body ended
 * prematurely.
 */
@FunctionalInterface
public interface RequestLog {
    /**
     * Records a request that has ended.
     *
     * @param entry routing, attempts and outcome of the request
     */
    void requestCompleted(Entry entry);

    /**
     * Record of one request from its arrival to its end. The record of a request that is refused
     * because of its path or headers, a missing or outdated routing table, or the size of its body
     * has no route, organisation or attempts, and its times are zero.
     *
     * @param id id of the request
     * @param route name of the route
     * @param organisation name of the caller's organisation, empty if unknown
     * @param tableNumber number of the routing table that the request was routed or refused with, 0
     *     if there was none
     * @param stateIndex index of the fleet state that the request was routed or refused with
     * @param status HTTP status sent to the caller, 0 if none was sent
     * @param outcome machine-readable outcome
     * @param answeredBy id of the endpoint whose response was forwarded, the first one if a stream
     *     was resumed at another; empty if no response was forwarded
     * @param attempts endpoint, load, result, duration and connection of each attempt, and denials
     *     of the retry budget, in order
     * @param traits what the request can have in common with others, see {@link RequestTraits};
     *     empty if its first attempt was answered
     * @param queued time from arrival to the first attempt, zero if none was made
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
            List<String> traits,
            Duration queued,
            Duration time) {}
}
