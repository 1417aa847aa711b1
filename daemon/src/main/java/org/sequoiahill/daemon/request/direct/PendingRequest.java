package org.sequoiahill.daemon.request.direct;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.Set;

/** A request that waits for a permit to be sent to an endpoint. */
public interface PendingRequest {
    /** Returns the service that must run the request. */
    String service();

    /** Returns the requested model, empty if the request names none. */
    String model();

    /**
     * Returns the version of the model that must serve the request; empty unless part of a stream
     * has been forwarded already, which the same version must resume.
     */
    OptionalLong version();

    /** Returns the priority, 0 highest. */
    int priority();

    /**
     * Returns whether the response will miss its latency target in any case; such requests come
     * last within their priority.
     */
    boolean isLate();

    /** Returns the number of prompt tokens, 0 if unknown. */
    int promptTokens();

    /** Returns the target time until the first part of the response. */
    Duration latencyTarget();

    /** Returns the time at which the request leaves the queue if it has no permit. */
    Duration queueDeadline();

    /** Returns whether the request may be served in a region. */
    boolean allows(String region);

    /** Returns the ids of the endpoints to which the request has been sent before. */
    Set<String> triedEndpoints();

    /** Returns whether the request has ended, for example because the caller has disconnected. */
    boolean isAbandoned();

    /** Called with a permit; the implementation sends the request and must release the permit. */
    void onGranted(EndpointPermit permit);

    /**
     * Called when no permit can be granted; the request has not been sent since it was submitted.
     */
    void onRefused(DispatchRefusal refusal);

    /**
     * Reason why no permit was granted.
     *
     * @param reason machine-readable cause
     * @param retryAfter time after which a permit may be available
     */
    record DispatchRefusal(String reason, Duration retryAfter) {}
}
