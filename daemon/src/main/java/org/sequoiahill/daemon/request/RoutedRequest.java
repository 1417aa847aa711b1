package org.sequoiahill.daemon.request;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.sequoiahill.daemon.process.directory.Hashes;
import org.sequoiahill.protocol.document.ServiceDocument;

/**
 * A caller's request with its resolved service, route and organisation and its complete body.
 *
 * @param service document of the service at the time when the request arrived
 * @param route route of the request
 * @param organisation organisation of the caller
 * @param method HTTP method
 * @param pathQuery path and query as the caller sent them
 * @param headers headers as the caller or the forwarding entry sent them
 * @param body complete body, read-only; use {@link ByteBuffer#slice()} to read it
 */
public record RoutedRequest(
        ServiceDocument service,
        ServiceDocument.Route route,
        ServiceDocument.Organisation organisation,
        String method,
        String pathQuery,
        HttpFields headers,
        ByteBuffer body) {
    /** Length of the body's prefix that is hashed; engines may cache the evaluation of it. */
    private static final int PREFIX_BYTES = 512;

    /** Returns the timeout that the caller requests, limited to the service's maximum. */
    public Duration timeout() {
        long requestedMillis = RequestHeaders.parsePositive(headers.get(RequestHeaders.DEADLINE));
        Duration maximum = service.limits().deadline();
        return requestedMillis > 0 && requestedMillis < maximum.toMillis()
                ? Duration.ofMillis(requestedMillis)
                : maximum;
    }

    /**
     * Returns the hash of the body's prefix; empty if the body is too short to be worth caching or
     * the service is not a model.
     */
    public Optional<Long> prefixHash() {
        if (body.remaining() < PREFIX_BYTES || service.kind() != ServiceDocument.Kind.MODEL) {
            return Optional.empty();
        }
        return Optional.of(Hashes.of(body.slice(body.position(), PREFIX_BYTES)));
    }

    /** Returns whether another data centre's entry has forwarded the request. */
    public boolean isForwarded() {
        return headers.contains(RequestHeaders.HOP);
    }
}
