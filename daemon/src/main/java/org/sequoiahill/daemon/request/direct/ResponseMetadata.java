package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * Metadata of an endpoint's response, parsed from its status and headers.
 *
 * @param status HTTP status
 * @param requestId id of the request that the response belongs to, empty if the response names none
 * @param isSealed whether the response has the seal that only endpoints add
 * @param isNotRun whether the endpoint states that it did not run the request
 * @param isStream whether the body is an event stream
 * @param endpointId id of the endpoint, if stated
 * @param load load of the endpoint, if stated
 * @param coldDuration how long the endpoint stays cold, if stated
 * @param isDraining whether the endpoint states that it is draining
 * @param pause how long this entry should send no requests to the endpoint, if stated
 */
public record ResponseMetadata(
        int status,
        String requestId,
        boolean isSealed,
        boolean isNotRun,
        boolean isStream,
        Optional<String> endpointId,
        Optional<Load> load,
        Optional<Duration> coldDuration,
        boolean isDraining,
        Optional<Duration> pause) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int MISDIRECTED = 421;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final Set<Integer> STATUSES_IMPLYING_NOT_RUN = Set.of(408, 429, 503);

    /**
     * Load of an endpoint.
     *
     * @param running requests that run
     * @param waiting requests that wait for a slot
     * @param slots maximum number of requests that run at once
     */
    public record Load(int running, int waiting, int slots) {}

    /** Returns whether the endpoint, or another one at its address, refused the request. */
    boolean isRefusal() {
        return isNotRun || status == MISDIRECTED;
    }

    /** Returns whether another endpoint than the intended one refused the request. */
    boolean isMisdirected(String intendedEndpointId) {
        return status == MISDIRECTED && !endpointId.equals(Optional.of(intendedEndpointId));
    }

    /**
     * Returns whether the response belongs to a request.
     *
     * @param isFirstOnConnection whether no earlier request can have left a response on the
     *     connection, so that a refusal may lack the id
     */
    boolean isFor(String id, boolean isFirstOnConnection) {
        return requestId.equals(id) || (isRefusal() && requestId.isEmpty() && isFirstOnConnection);
    }

    /** Returns whether the status tells callers that the request has not run. */
    boolean impliesNotRun() {
        return STATUSES_IMPLYING_NOT_RUN.contains(status);
    }

    /**
     * Returns whether the endpoint ran the request and failed. A status that means "not run" to
     * callers also counts: an endpoint that did not run a request says so in a header of its own.
     */
    boolean isFailure() {
        return status >= FIRST_SERVER_ERROR || impliesNotRun();
    }

    /** Returns whether the status is a success (2xx). */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}
