package org.sequoiahill.daemon.connection;

/**
 * Kind of the connections that a request may go on; a connection keeps its kind.
 *
 * <p>Sendings of one request bear one identity, so a late second copy of the answer to the first
 * would pass for the answer to a repeat that goes on the same connection. As the kind counts the
 * sendings, no connection carries a request twice.
 *
 * @param isAtMostOnce whether its requests may run once only
 * @param attempt which sending to its endpoint each of its requests is, counted from 1
 */
public record ConnectionKind(boolean isAtMostOnce, int attempt) {
    /** First sendings of requests that may be sent again. */
    public static final ConnectionKind ORDINARY = new ConnectionKind(false, 1);

    /** Returns whether connections of this kind serve more than one request. */
    boolean isReusable() {
        return attempt == 1;
    }

    /** Returns whether connections of this kind are closed after a short idle time. */
    boolean hasShortIdleTimeout() {
        return isAtMostOnce || attempt > 1;
    }
}
