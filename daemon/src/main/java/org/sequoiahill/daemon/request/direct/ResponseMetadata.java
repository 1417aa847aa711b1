package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.Optional;

/**
 * What the head of an endpoint's answer says.
 *
 * @param status HTTP status
 * @param requestId id of the request that is answered, empty where the answer names none
 * @param isSealed whether the answer bears an endpoint's seal
 * @param isNotRun whether the endpoint states that it did not run the request
 * @param isStream whether events follow
 * @param endpointId id of the endpoint, where it tells
 * @param load load of the endpoint, where it tells
 * @param coldDuration how long the endpoint stays cold, where it tells
 * @param isDraining whether the endpoint says that it leaves
 * @param pause how long the endpoint wants nothing from this entry, where it tells
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
     * @param slots requests that run at once at most
     */
    public record Load(int running, int waiting, int slots) {}

    /** Returns whether the answer is a success. */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}
