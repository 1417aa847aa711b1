package org.sequoiahill.daemon.request.direct;

import org.sequoiahill.daemon.connection.ByteBudget;
import org.sequoiahill.daemon.connection.HeldBytes;

/**
 * Budget for the bytes that an entry holds for its callers: bodies of requests until the request
 * ends, and responses until they have been written.
 *
 * <p>Requests and responses have half of it each, so that there is room for the responses of
 * requests that have been sent. Large bodies have a part of each half, so that they can't use the
 * room of small ones.
 *
 * @param all bytes of all bodies
 * @param requests part for bodies of requests
 * @param largeRequests part of {@code requests} for large bodies
 * @param responses part for responses
 * @param largeResponses part of {@code responses} for large ones
 */
public record CallerMemory(
        ByteBudget all,
        ByteBudget requests,
        ByteBudget largeRequests,
        ByteBudget responses,
        ByteBudget largeResponses) {
    /** Part of the budget for one direction that large bodies may use. */
    private static final double LARGE_FRACTION = 0.75;

    /** Returns a budget of {@code maxBytes} with nothing held. */
    public static CallerMemory of(long maxBytes) {
        ByteBudget all = ByteBudget.of(maxBytes);
        long half = maxBytes / 2;
        long large = (long) (half * LARGE_FRACTION);
        ByteBudget requests = all.part(half);
        ByteBudget responses = all.part(half);
        return new CallerMemory(
                all, requests, requests.part(large), responses, responses.part(large));
    }

    /** Returns the largest body of a request for which there can be room. */
    long maxRequestBytes(long statedLength) {
        return maxBytes(largeRequests, statedLength);
    }

    /** Returns the largest response for which there can be room. */
    long maxResponseBytes(long statedLength) {
        return maxBytes(largeResponses, statedLength);
    }

    private static long maxBytes(ByteBudget budget, long statedLength) {
        // A body of unknown length is copied while it grows.
        return statedLength < 0 ? budget.maxBytes() / 2 : budget.maxBytes();
    }

    /** Returns an empty reservation for the body of one request. */
    HeldBytes holdRequest() {
        return HeldBytes.of(requests, largeRequests);
    }

    /** Returns an empty reservation for the response to one request. */
    HeldBytes holdResponse() {
        return HeldBytes.of(responses, largeResponses);
    }
}
