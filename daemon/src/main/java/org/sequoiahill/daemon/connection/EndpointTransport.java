package org.sequoiahill.daemon.connection;

import java.time.Duration;
import java.util.Map;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * Keeps idle connections to endpoints by the kind that tags their requests: those of ordinary
 * requests as long as the client keeps them, others only briefly, and those of repeats not at all.
 *
 * <p>An endpoint may drop an idle connection without a word, and resets what is sent on it next. A
 * request that may run once is then lost, since nobody knows whether it ran.
 *
 * <p>The connection of an exchange that is given up is closed at once, whatever the endpoint sends.
 */
public final class EndpointTransport extends HttpClientTransportOverHTTP {
    private final Duration mShortIdleTimeout;

    private EndpointTransport(ClientConnector connector, Duration briefIdleTime) {
        super(connector);
        mShortIdleTimeout = briefIdleTime;
    }

    /**
     * Returns a transport.
     *
     * @param briefIdleTime idle time after which a connection that is kept briefly is closed
     */
    public static EndpointTransport over(ClientConnector connector, Duration briefIdleTime) {
        return new EndpointTransport(connector, briefIdleTime);
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
