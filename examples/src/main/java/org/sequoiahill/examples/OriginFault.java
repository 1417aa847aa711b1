package org.sequoiahill.examples;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A fault that the stand-in origin injects into every n-th request for a file.
 *
 * @param kind kind of fault
 * @param every the n of "every n-th request"; 1 for all requests
 * @param retryAfterSeconds value of Retry-After in a throttled response
 * @param requests requests counted so far
 */
record OriginFault(Kind kind, int every, int retryAfterSeconds, AtomicLong requests) {
    static final OriginFault NONE = new OriginFault(Kind.NONE, 1, 0, new AtomicLong());

    enum Kind {
        NONE,
        /** The response is 429 with Retry-After. */
        THROTTLE,
        /** The first byte of each slice is inverted. */
        CORRUPT,
        /** The response ends after half of the first slice. */
        TRUNCATE,
        /** The response never ends; nothing follows the first slice. */
        STALL
    }

    static OriginFault parse(JsonNode node) {
        Kind kind = Kind.valueOf(node.path("kind").asText("none").toUpperCase(Locale.ROOT));
        int every = Math.max(1, node.path("every").asInt(1));
        return new OriginFault(
                kind, every, node.path("retryAfterSeconds").asInt(1), new AtomicLong());
    }

    /** Counts a request and returns the fault to inject into it. */
    Kind next() {
        return requests.incrementAndGet() % every == 0 ? kind : Kind.NONE;
    }
}
