package org.sequoiahill.daemon.connection;

import org.eclipse.jetty.client.Request;
import org.jspecify.annotations.Nullable;

/**
 * The connection of a request at the time when the request began.
 *
 * @param connection identifies the connection; for comparison only
 * @param isNew whether the request is the first one on the connection
 */
public record ConnectionUse(Object connection, boolean isNew) {
    /** Returns the connection of a request that begins, or null if it is unknown. */
    public static @Nullable ConnectionUse of(Request request) {
        return request.getConnection() instanceof org.eclipse.jetty.io.Connection connection
                ? new ConnectionUse(connection, connection.getMessagesOut() <= 1)
                : null;
    }
}
