package org.sequoiahill.daemon.connection;

import org.eclipse.jetty.client.Request;
import org.jspecify.annotations.Nullable;

/**
 * The connection that a request went on, as it was when the request began.
 *
 * @param connection the connection, for comparison only
 * @param isNew whether the request was its first
 */
public record ConnectionUse(Object connection, boolean isNew) {
    /** Returns the use by a request that begins, or null where it has no connection of its own. */
    public static @Nullable ConnectionUse of(Request request) {
        return request.getConnection() instanceof org.eclipse.jetty.io.Connection connection
                ? new ConnectionUse(connection, connection.getMessagesOut() <= 1)
                : null;
    }
}
