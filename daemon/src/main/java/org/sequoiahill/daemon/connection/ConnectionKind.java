package org.sequoiahill.daemon.connection;

/**
 * Kind of the connections that a request may use; the kind of a connection never changes.
 *
 * <p>All attempts of a request that an entry forwards without an agent have the same id. If a retry
 * used the connection of the first attempt, a late duplicate of the first response would be
 * mistaken for the response to the retry. As the kind includes the number of the attempt, no
 * connection carries a request twice.
 *
 * @param isAtMostOnce whether its requests must run at most once
 * @param attempt number of the attempt at the same endpoint, from 1
 */
public record ConnectionKind(boolean isAtMostOnce, int attempt) {
    /**
     * Kind of first attempts of requests that may be retried, and of all requests for which no kind
     * is chosen.
     */
    public static final ConnectionKind ORDINARY = new ConnectionKind(false, 1);

    /** Returns whether connections of this kind may carry more than one request. */
    boolean isReusable() {
        return attempt == 1;
    }

    /** Returns whether connections of this kind are closed after a short idle time. */
    boolean hasShortIdleTimeout() {
        return isAtMostOnce || attempt > 1;
    }
}
