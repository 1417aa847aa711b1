package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Optional;

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

    /**
     * Load of an endpoint.
     *
     * @param running requests that run
     * @param waiting requests that wait for a slot
     * @param slots maximum number of requests that run at once
     */
    public record Load(int running, int waiting, int slots) {}

    /** Returns whether the status is a success (2xx). */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}
