package org.sequoiahill.daemon.request;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.sequoiahill.daemon.process.directory.Hashes;
import org.sequoiahill.protocol.document.ServiceDocument;

/**
 * A caller's request whose service, route, organisation and body are known.
 *
 * @param service document of the service, as it was when the request came
 * @param route route of the request
 * @param organisation organisation of the caller
 * @param method HTTP method
 * @param pathQuery path and query as the caller sent them
 * @param headers headers as the caller or the passing entry sent them
 * @param body whole body, read-only; use {@link ByteBuffer#slice()} to read it
 */
public record RoutedRequest(
        ServiceDocument service,
        ServiceDocument.Route route,
        ServiceDocument.Organisation organisation,
        String method,
        String pathQuery,
        HttpFields headers,
        ByteBuffer body) {
    /** Bytes of a body's beginning that engines may have cached. */
    private static final int PREFIX_BYTES = 512;

    /** Returns the time that the request is given: the caller's, but at most the service's. */
    public Duration timeout() {
        long named = RequestHeaders.parsePositive(headers.get(RequestHeaders.DEADLINE));
        Duration most = service.limits().deadline();
        return named > 0 && named < most.toMillis() ? Duration.ofMillis(named) : most;
    }

    /** Returns the hash of the prompt's beginning, where it is long enough to be worth caching. */
    public Optional<Long> prefix() {
        if (body.remaining() < PREFIX_BYTES || service.kind() != ServiceDocument.Kind.MODEL) {
            return Optional.empty();
        }
        return Optional.of(Hashes.of(body.slice(body.position(), PREFIX_BYTES)));
    }

    /** Returns whether another data centre's entry has passed the request on. */
    public boolean isForwarded() {
        return headers.contains(RequestHeaders.HOP);
    }
}
