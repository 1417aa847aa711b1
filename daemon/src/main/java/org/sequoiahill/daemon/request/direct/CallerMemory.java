package org.sequoiahill.daemon.request.direct;

import org.sequoiahill.daemon.connection.ByteBudget;
import org.sequoiahill.daemon.connection.HeldBytes;

/**
 * Budget for the bytes that an entry holds for its callers: bodies of requests until the request
 * ends, and responses.
 *
 * <p>Requests and responses have half of it each, so that there is room for the responses of
 * requests that have been sent. Large bodies have a part of each half, so that they can't use the
 * room of small ones.
 *
 * @param all bytes of all bodies
 * @param requests part for bodies of requests
 * @param largeRequests part of {@code requests} for large bodies
 * @param responses part for responses
 */
public record CallerMemory(
        ByteBudget all, ByteBudget requests, ByteBudget largeRequests, ByteBudget responses) {
    /** Part of the budget for one direction that large bodies may use. */
    private static final double LARGE_FRACTION = 0.75;

    /** Returns a budget of {@code maxBytes} with nothing held. */
    public static CallerMemory of(long maxBytes) {
        ByteBudget all = ByteBudget.of(maxBytes);
        long half = maxBytes / 2;
        ByteBudget requests = all.part(half);
        return new CallerMemory(
                all, requests, requests.part((long) (half * LARGE_FRACTION)), all.part(half));
    }

    /** Returns an empty reservation for the body of one request. */
    HeldBytes holdRequest() {
        return HeldBytes.of(requests, largeRequests);
    }
}
