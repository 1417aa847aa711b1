package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.Set;

/** A request that wants a place at an endpoint. */
public interface PendingRequest {
    /** Returns the service that is to run the request. */
    String service();

    /** Returns the model that is asked for, empty where there is none. */
    String model();

    /** Returns the version that must answer, where a stream goes on. */
    OptionalLong version();

    /** Returns the rank, 0 first. */
    int priority();

    /** Returns whether the answer can't be on time any more, so that it is worth less. */
    boolean isLate();

    /** Returns the tokens that an engine has to read, 0 where that isn't known. */
    int promptTokens();

    /** Returns the time until the first part of an answer that the caller wants. */
    Duration latencyTarget();

    /** Returns the time from which a place is of no use any more. */
    Duration queueDeadline();

    /** Returns whether the request may be served in a region. */
    boolean allows(String region);

    /** Returns the ids of endpoints that were tried. */
    Set<String> triedEndpoints();

    /** Returns whether the caller has gone. */
    boolean isAbandoned();

    /** Takes a place. */
    void onGranted(EndpointPermit place);

    /** Takes a refusal; the request was not sent anywhere since it was submitted. */
    void onRefused(DispatchRefusal refused);

    /**
     * Why there is no place.
     *
     * @param reason short name of the cause
     * @param retryAfter when there may be one
     */
    record DispatchRefusal(String reason, Duration retryAfter) {}
}
