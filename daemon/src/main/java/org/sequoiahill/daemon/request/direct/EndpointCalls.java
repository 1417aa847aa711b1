package org.sequoiahill.daemon.request.direct;

import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.eclipse.jetty.http.HttpURI;
import org.sequoiahill.daemon.connection.ConnectionKind;
import org.sequoiahill.daemon.process.fleet.Organisation;
import org.sequoiahill.daemon.process.settings.HostPort;
import org.sequoiahill.daemon.request.HttpForwarder;

/** Creates the calls that send callers' requests to endpoints. */
final class EndpointCalls {
    /** Margin by which an attempt outlives the exchange, so that the exchange times out first. */
    private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(500);

    private EndpointCalls() {}

    /** Returns whether a request can be sent with a path and query, unchanged. */
    static boolean canSend(String pathAndQuery) {
        if (isValidInUri(pathAndQuery)) {
            return true;
        }
        // Jetty's client takes what follows two slashes for a host, and parses the rest like this.
        try {
            HttpURI sent = HttpURI.from("http", "localhost", 80, pathAndQuery, null, null);
            return !pathAndQuery.startsWith("//") && pathAndQuery.equals(sent.getPathQuery());
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static boolean isValidInUri(String pathAndQuery) {
        try {
            new URI("http://localhost" + pathAndQuery);
            return true;
        } catch (URISyntaxException e) {
            return false;
        }
    }

    /**
     * Returns the call for one attempt of a request.
     *
     * @param lastEventId if earlier attempts delivered a part of a stream, id of its last event
     * @param timeLeft time until the request's deadline
     * @param attemptAtAddress number of this request's attempts at the endpoint's address,
     *     including this one
     */
    static HttpForwarder.Call of(
            HeaderCodec headerCodec,
            DirectRequest request,
            EndpointPermit permit,
            Optional<String> lastEventId,
            Duration timeLeft,
            int attemptAtAddress) {
        HostPort address = permit.endpoint().address();
        AttemptMetadata metadata =
                new AttemptMetadata(
                        permit.endpoint().id(),
                        request.organisation().map(Organisation::name),
                        timeLeft,
                        lastEventId.or(() -> request.metadata().lastEventId()),
                        permit.version(),
                        OptionalInt.of(request.priority()));
        String pathAndQuery = request.pathAndQuery();
        boolean isValidInUri = isValidInUri(pathAndQuery);
        return new HttpForwarder.Call(
                request.method(),
                URI.create("http://" + address + (isValidInUri ? pathAndQuery : "/")),
                isValidInUri ? Optional.empty() : Optional.of(pathAndQuery),
                headerCodec.endpointHeaders(request.headers(), metadata),
                request.body(),
                timeLeft.plus(TIMEOUT_MARGIN),
                Optional.of(request.host()),
                new ConnectionKind(!request.route().isRetryable(), attemptAtAddress));
    }
}
