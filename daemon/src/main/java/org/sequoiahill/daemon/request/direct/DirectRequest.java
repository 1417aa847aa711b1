package org.sequoiahill.daemon.request.direct;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalInt;
import org.eclipse.jetty.http.HttpFields;
import org.sequoiahill.daemon.process.fleet.Organisation;
import org.sequoiahill.daemon.process.fleet.Route;

/**
 * A caller's request for which a route was found.
 *
 * @param caller what the headers say
 * @param route route of the request
 * @param organisation whom the caller belongs to, empty for a caller without a key
 * @param service service that the route's shares gave this request
 * @param method HTTP method
 * @param pathAndQuery path and query as the caller sent them
 * @param host host that the caller named
 * @param headers all headers
 * @param body whole body
 * @param routingVersions state that the route was found in
 */
record DirectRequest(
        RequestMetadata caller,
        Route route,
        Optional<Organisation> organisation,
        String service,
        String method,
        String pathAndQuery,
        String host,
        HttpFields headers,
        ByteBuffer body,
        RoutingVersions routingVersions) {
    /**
     * State that decided on a request.
     *
     * @param tableNumber number of the routing table
     * @param stateIndex index of the fleet's state
     */
    record RoutingVersions(long tableNumber, long stateIndex) {}

    /** Returns the rank; the organisation's goes before the route's. */
    int priority() {
        OptionalInt own = organisation.map(Organisation::priority).orElse(OptionalInt.empty());
        return own.orElse(route.priority());
    }

    /** Returns whether the request may be served in a region. */
    boolean allows(String region) {
        return route.allows(region) && organisation.map(each -> each.allows(region)).orElse(true);
    }
}
