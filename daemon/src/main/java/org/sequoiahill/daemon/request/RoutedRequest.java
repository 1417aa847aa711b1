package org.sequoiahill.daemon.request;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
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
    /** Returns whether another data centre's entry has passed the request on. */
    public boolean isPassedOn() {
        return headers.contains(RequestHeaders.HOP);
    }
}
