package org.sequoiahill.daemon.process.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * Where requests of one host and path prefix go.
 *
 * @param name name of the route
 * @param host host that callers name
 * @param pathPrefix beginning of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeout longest time until the answer has ended
 * @param answerTarget time until the answer, or a stream's first event, that callers want
 * @param pauseTarget longest pause between events that callers want
 * @param priority rank of the requests, 0 first
 * @param shares services that share the requests
 * @param maxAttempts most endpoints that one request may be sent to
 * @param isOpen whether callers without a key are served
 * @param isResumable whether a stream may go on at another endpoint
 * @param regions regions that may serve the requests, empty for all
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        Kind kind,
        Duration timeout,
        Duration answerTarget,
        Duration pauseTarget,
        int priority,
        List<Share> shares,
        int maxAttempts,
        boolean isOpen,
        boolean isResumable,
        Set<String> regions) {
    /** Copies the collections. */
    public Route {
        shares = List.copyOf(shares);
        regions = Set.copyOf(regions);
    }

    /** What a request does and how it is answered. */
    public enum Kind {
        /** May run more than once. */
        IDEMPOTENT,
        /** May run at most once. */
        ONCE,
        /** Answered by a series of events; runs at most once unless it may be resumed. */
        STREAM
    }

    /**
     * A service's share of the requests.
     *
     * @param service name of the service
     * @param weight share in relation to the other weights
     */
    public record Share(String service, int weight) {}

    /** Returns whether a request may run again after it may have run. */
    public boolean isRepeatable() {
        return kind == Kind.IDEMPOTENT || (kind == Kind.STREAM && isResumable);
    }

    /** Returns whether requests may be served in a region. */
    public boolean allows(String region) {
        return regions.isEmpty() || regions.contains(region);
    }

    /**
     * Returns the service for one request.
     *
     * @param draw number from 0 up to but not including 1
     */
    public String serviceFor(double draw) {
        int total = shares.stream().mapToInt(Share::weight).sum();
        double left = draw * total;
        for (Share share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }
}
