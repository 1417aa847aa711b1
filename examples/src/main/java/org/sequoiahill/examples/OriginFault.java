package org.sequoiahill.examples;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A fault that the stand-in origin shows on every n-th request for a file.
 *
 * @param kind what goes wrong
 * @param every requests between two faults; 1 for all
 * @param retryAfterSeconds pause that a refusal names
 */
record OriginFault(Kind kind, int every, int retryAfterSeconds, AtomicLong requests) {
    static final OriginFault NONE = new OriginFault(Kind.NONE, 1, 0, new AtomicLong());

    enum Kind {
        NONE,
        THROTTLE,
        CORRUPT,
        TRUNCATE,
        STALL
    }

    static OriginFault parse(JsonNode node) {
        Kind kind = Kind.valueOf(node.path("kind").asText("none").toUpperCase(Locale.ROOT));
        int every = Math.max(1, node.path("every").asInt(1));
        return new OriginFault(
                kind, every, node.path("retryAfterSeconds").asInt(1), new AtomicLong());
    }

    /** Returns what befalls the next request. */
    Kind next() {
        return requests.incrementAndGet() % every == 0 ? kind : Kind.NONE;
    }
}
