package org.sequoiahill.daemon.connection;

import java.time.Duration;
import java.util.Map;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * Transport whose connections depend on the {@link ConnectionKind} that tags their requests:
 * connections of ordinary requests have the client's idle timeout, others a short one, and those of
 * retries are not reused.
 *
 * <p>An endpoint may drop an idle connection silently and then reset it when the next request is
 * sent. If that request must run at most once, it can't be retried, since it is unknown whether it
 * has run.
 *
 * <p>The connection of an aborted exchange is closed at once, whatever the endpoint sends.
 */
public final class EndpointTransport extends HttpClientTransportOverHTTP {
    private final Duration mShortIdleTimeout;

    private EndpointTransport(ClientConnector connector, Duration shortIdleTimeout) {
        super(connector);
        mShortIdleTimeout = shortIdleTimeout;
    }

    /**
     * Returns a transport.
     *
     * @param shortIdleTimeout idle timeout of connections with {@link
     *     ConnectionKind#hasShortIdleTimeout}
     */
    public static EndpointTransport over(ClientConnector connector, Duration shortIdleTimeout) {
        return new EndpointTransport(connector, shortIdleTimeout);
    }

    @Override
    public Connection newConnection(EndPoint endPoint, Map<String, Object> context) {
        ConnectionKind kind = kindOf(context);
        if (kind.hasShortIdleTimeout()) {
            endPoint.setIdleTimeout(mShortIdleTimeout.toMillis());
        }
        return customize(new EndpointConnection(endPoint, context, kind.isReusable()), context);
    }

    private static ConnectionKind kindOf(Map<String, Object> context) {
        return context.get(HTTP_DESTINATION_CONTEXT_KEY) instanceof Destination destination
                        && destination.getOrigin().getTag() instanceof ConnectionKind kind
                ? kind
                : ConnectionKind.ORDINARY;
    }
}
