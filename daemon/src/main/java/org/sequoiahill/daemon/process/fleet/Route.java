package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A route for the requests of one host and path prefix.
 *
 * @param name name of the route
 * @param host host that callers address
 * @param pathPrefix prefix of the path, compared as text
 * @param kind how often a request may run, and the form of its response
 * @param timeout limit for the time until the response is complete
 * @param latencyTarget target for the time until the response or a stream's first event
 * @param eventGapTarget target for the longest gap between events of a stream
 * @param priority priority of the requests; 0 is the highest
 * @param shares services among which the requests are divided
 * @param maxAttempts maximum number of attempts of a request that may have run
 * @param allowsAnonymous whether callers without an API key are served
 * @param isResumable whether another endpoint may resume a stream
 * @param regions regions that may serve the requests; empty allows all
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        Kind kind,
        Duration timeout,
        Duration latencyTarget,
        Duration eventGapTarget,
        int priority,
        List<Share> shares,
        int maxAttempts,
        boolean allowsAnonymous,
        boolean isResumable,
        Set<String> regions) {
    /** Copies the collections. */
    public Route {
        shares = List.copyOf(shares);
        regions = Set.copyOf(regions);
    }

    /** How often a request may run, and the form of its response. */
    public enum Kind {
        /** May run more than once. */
        IDEMPOTENT,
        /** May run at most once. */
        ONCE,
        /**
         * Responds with a stream of events; may run at most once unless the stream is resumable.
         */
        STREAM
    }

    /**
     * A service's share of the requests.
     *
     * @param service name of the service
     * @param weight weight relative to those of the other services
     */
    public record Share(String service, int weight) {}

    /** Returns whether a request may be retried although it may have run already. */
    public boolean isRetryable() {
        return kind == Kind.IDEMPOTENT || (kind == Kind.STREAM && isResumable);
    }

    /** Returns whether requests may be served in a region. */
    public boolean allows(String region) {
        return regions.isEmpty() || regions.contains(region);
    }

    /**
     * Selects the service for one request.
     *
     * @param sample random number, at least 0 and less than 1
     */
    public String serviceFor(double sample) {
        int total = shares.stream().mapToInt(Share::weight).sum();
        double remaining = sample * total;
        for (Share share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }
}
